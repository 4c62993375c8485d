#pragma once

#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/safeguards.hpp>
#include <plumdale/state/result.hpp>

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Peer messages as bytes of a datagram.

namespace plumdale::protocol
{

/// \brief Returns a message as Cap'n Proto words with a MAC by the fleet key in front; at most
/// `peer_message::max_bytes` when no list is longer than its bound.
[[nodiscard]] std::string encode(coordination::peer_message const& message,
                                 std::string_view fleet_key);

/// \brief Reads a datagram. Anything not made with the fleet key or one of `accepted_keys`, or not
/// well-formed, fails with `invalid_request`.
[[nodiscard]] state::result<coordination::peer_message>
decode_peer_message(std::span<char const> datagram, std::string_view fleet_key,
                    std::span<std::string const> accepted_keys = {},
                    coordination::safeguard_set safeguards = {});

} // namespace plumdale::protocol
