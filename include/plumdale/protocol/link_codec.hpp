#pragma once

#include <plumdale/coordination/request_events.hpp>
#include <plumdale/state/content_ref.hpp>
#include <plumdale/state/result.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// \file
/// \brief Frames on the TCP links between entry VMs, as Cap'n Proto messages.

namespace plumdale::protocol
{

/// \brief Random bytes that make the keys of each link different.
using link_nonce = std::array<std::uint8_t, 16>;

/// \brief First frame of each side.
struct link_hello
{
    state::node_id node;
    link_nonce nonce{};
};

/// \brief Shows that the sender is alive while it has nothing else to send.
struct link_heartbeat
{
};

/// \brief An event of the caller, as reported by the relaying side.
enum class caller_event : std::uint8_t
{
    disconnected,
    blocked,
    ready
};

/// \brief Answer to a content request; `text` is null if the peer doesn't hold the version.
struct link_content
{
    state::content_ref wanted;
    std::string key;
    std::shared_ptr<std::string const> text;
};

/// \brief A `content_ref` requests content. The `caller` of relay events is the frame's exchange.
using link_body =
    std::variant<link_heartbeat, link_hello, state::request, coordination::relay_head,
                 coordination::relay_token, coordination::relay_finished,
                 coordination::relay_refused, caller_event, state::content_ref, link_content>;

/// \brief One frame; `exchange` identifies the relay or content request on its link.
struct link_frame
{
    std::uint64_t exchange = 0;
    link_body body;
};

/// \brief Returns the frame's bytes. A deadline is sent as the time that is left at `now`.
[[nodiscard]] std::string encode_frame(link_frame const& frame, state::time_point now);

/// \brief Decodes a frame. Fails with `invalid_request` on anything malformed.
[[nodiscard]] state::result<link_frame> decode_frame(std::string_view bytes, state::time_point now);

} // namespace plumdale::protocol
