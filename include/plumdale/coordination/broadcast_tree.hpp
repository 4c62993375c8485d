#pragma once

#include <plumdale/state/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Who passes a message on to whom, so that all of a fleet have it after a few steps.

namespace plumdale::coordination
{

/// \brief The entry VMs whose places lie between `first` and `last`, both included. Places are
/// counted from the one that began the message, which has place 0 and is in no range.
struct broadcast_range
{
    state::node_id origin;
    std::uint64_t first = 1;
    std::uint64_t last = UINT64_MAX;
};

/// \brief An entry VM to send to, and the range that it passes the message on to.
struct broadcast_branch
{
    state::node_id receiver;
    broadcast_range subrange;
    bool has_subrange = false;
};

/// \brief Returns to whom the holder of `range` sends message `message`.
///
/// Each of at most `fan_out` entry VMs gets an equal part of those in the range. Places differ
/// from message to message, so that the same VMs aren't always the ones to pass on. Views of the
/// fleet need not agree: each step divides by its own.
[[nodiscard]] std::vector<broadcast_branch> branches_of(broadcast_range range,
                                                        std::uint64_t message,
                                                        std::span<state::node_id const> peers,
                                                        std::size_t fan_out);

/// \brief With 4, all of 380 are reached in five steps, and none sends to more than four.
inline constexpr std::size_t tree_fan_out = 4;
/// \brief A datagram to so many is sent in 40 ms over a link of 10 Mbit/s.
inline constexpr std::size_t max_direct_peers = 32;
/// \brief Trees of one message: a lost datagram in one of them takes a part of the fleet with it.
inline constexpr std::size_t trees_per_message = 2;

/// \brief Returns to how many a message to `peers` goes at once: small fleets need no tree.
[[nodiscard]] constexpr std::size_t fan_out_for(std::size_t peers) noexcept
{
    return peers <= max_direct_peers ? peers : tree_fan_out;
}

} // namespace plumdale::coordination
