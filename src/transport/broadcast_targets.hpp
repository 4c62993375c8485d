#pragma once

#include <plumdale/coordination/broadcast_tree.hpp>
#include <plumdale/state/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Addresses of those to whom a message is passed on.

namespace plumdale::transport
{

/// \brief A peer to pass something on to.
struct broadcast_peer
{
    state::node_id node;
    state::endpoint datagrams;
};

/// \brief An address to send to, and the range that is passed on from there.
struct broadcast_target
{
    state::endpoint to;
    coordination::broadcast_range subrange;
    bool has_subrange = false;
};

/// \brief Returns to whom message `message` goes from the holder of `range`.
[[nodiscard]] std::vector<broadcast_target> targets_of(coordination::broadcast_range const& range,
                                                       std::uint64_t message,
                                                       std::span<broadcast_peer const> peers,
                                                       std::size_t fan_out);

} // namespace plumdale::transport
