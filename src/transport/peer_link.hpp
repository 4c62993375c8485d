#pragma once

#include "net.hpp"

#include <plumdale/protocol/link_codec.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief One authenticated TCP connection between two entry VMs.

namespace plumdale::transport
{

/// \brief Callbacks of a link to its owner, on the thread of the link's event loop.
struct link_listener
{
    /// \brief Both sides proved that they hold the fleet key; frames may arrive from now on.
    std::function<void()> opened;
    std::function<void(protocol::link_frame)> received;
    /// \brief The link ended; no other call follows.
    std::function<void()> closed;
    /// \brief Called with true when more bytes wait to be sent than the limit, with false when
    /// fewer do.
    std::function<void(bool blocked)> blocked;
};

/// \brief The identity of this entry VM, and the keys and limits of its links.
struct link_settings
{
    state::node_id self;
    /// \brief Signs what this side sends.
    std::string fleet_key;
    /// \brief Keys that the other side may sign with, besides `fleet_key`.
    std::vector<std::string> accepted_fleet_keys;
    /// \brief Most bytes of one frame; a longer one ends the link before it is read.
    std::uint32_t frame_limit = 80U * 1024 * 1024;
    /// \brief Bytes waiting above which `blocked(true)` is called.
    std::uint32_t buffer = 256U * 1024;
    /// \brief Interval at which a side with nothing else to send sends a heartbeat.
    std::chrono::milliseconds heartbeat_interval{1000};
    /// \brief A link on which nothing arrives for this long is closed, even if its socket reports
    /// no error.
    std::chrono::milliseconds silence_timeout{3000};
};

/// \brief A link: frames in both directions, each with a MAC.
class peer_link
{
public:
    peer_link() = default;
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;
    virtual ~peer_link() = default;

    /// \brief Sends a frame; a frame sent before the link is open is queued.
    virtual void send(protocol::link_frame const& frame) = 0;
    /// \brief Returns the entry VM at the other end; none before the link opened.
    [[nodiscard]] virtual state::node_id peer() const = 0;
    /// \brief Ends the link without a call to the listener.
    virtual void close() = 0;
};

/// \brief Connects to a peer's `streams` endpoint. A failure is reported by `closed`.
[[nodiscard]] std::shared_ptr<peer_link> open_link(net::io_context& context,
                                                   state::endpoint address,
                                                   link_settings const& settings,
                                                   link_listener listener);

/// \brief Opens a link over an accepted connection.
[[nodiscard]] std::shared_ptr<peer_link>
accept_link(tcp::socket socket, link_settings const& settings, link_listener listener);

} // namespace plumdale::transport
