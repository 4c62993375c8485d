#pragma once

#include <plumdale/protocol/message_head.hpp>
#include <plumdale/state/result.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief A call that an entry VM has a peer send to an upstream.

namespace plumdale::protocol
{

/// \brief A caller's request as it arrived, and what the VM that it arrived at knows of it.
struct peer_call
{
    /// \brief The configuration under which it was admitted.
    std::uint64_t configuration = 0;
    /// \brief Time since its last byte was read from the caller.
    state::duration age{};
    /// \brief Sends of it that may have run.
    std::uint32_t possible_runs = 0;
    /// \brief It counts towards the retry budget of the VM that it arrived at.
    bool is_counted = false;
    message_head head;
    std::string body;
};

/// \brief Path at which peers take calls.
inline constexpr std::string_view peer_call_target = "/fleet/call";
/// \brief Field of the answer to such a request: `upstream` if the answer is an upstream's,
/// otherwise the name of the error with which the peer refused the call.
inline constexpr std::string_view peer_answer_field = "Fleet-Answer";
inline constexpr std::string_view upstream_answer = "upstream";
/// \brief Field of request and answer: the id of the call. An answer that names another call, or
/// none, says nothing about this one.
inline constexpr std::string_view peer_call_field = "Fleet-Call";

/// \brief Returns the body of the request to a peer: a MAC by the fleet key and Cap'n Proto words.
[[nodiscard]] std::string encode(peer_call const& call, std::string_view fleet_key);

/// \brief Reads such a body. Anything not made with the fleet key or not well-formed fails with
/// `invalid_request`.
[[nodiscard]] state::result<peer_call> decode_peer_call(std::span<char const> text,
                                                        std::string_view fleet_key);

} // namespace plumdale::protocol
