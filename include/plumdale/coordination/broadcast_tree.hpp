#pragma once

#include <plumdale/state/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Which entry VM forwards a message to which, so that a fleet has it after a few steps.

namespace plumdale::coordination
{

/// \brief The entry VMs whose places are between `first` and `last`, inclusive. Places are relative
/// to the origin of the message, which has place 0 and is in no range.
struct broadcast_range
{
    state::node_id origin;
    std::uint64_t first = 1;
    std::uint64_t last = UINT64_MAX;
};

/// \brief An entry VM to send to, and the range that it forwards the message to.
struct broadcast_branch
{
    state::node_id receiver;
    broadcast_range subrange;
    bool has_subrange = false;
};

/// \brief Returns the VMs that the holder of `range` sends message `message` to.
///
/// Each of at most `fan_out` entry VMs gets an equal part of those in the range. Places differ
/// from message to message, so that it isn't always the same VMs that forward. Views of the
/// fleet need not agree: each VM divides its range by its own view.
[[nodiscard]] std::vector<broadcast_branch> branches_of(broadcast_range range,
                                                        std::uint64_t message,
                                                        std::span<state::node_id const> peers,
                                                        std::size_t fan_out);

/// \brief With 4, a fleet of 380 is reached in five steps, and no VM sends to more than four.
inline constexpr std::size_t tree_fan_out = 4;
/// \brief Sending a datagram to this many peers takes 40 ms over a link of 10 Mbit/s.
inline constexpr std::size_t max_direct_peers = 32;
/// \brief Trees of one message: a datagram lost in one of them cuts off a part of the fleet.
inline constexpr std::size_t trees_per_message = 2;

/// \brief Returns the fan-out of a message to `peers` VMs: small fleets need no tree.
[[nodiscard]] constexpr std::size_t fan_out_for(std::size_t peers) noexcept
{
    return peers <= max_direct_peers ? peers : tree_fan_out;
}

} // namespace plumdale::coordination
