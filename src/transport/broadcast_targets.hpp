#pragma once

#include <plumdale/coordination/broadcast_tree.hpp>
#include <plumdale/state/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Addresses to which a broadcast message is forwarded.

namespace plumdale::transport
{

/// \brief A peer to which a message may be forwarded.
struct broadcast_peer
{
    state::node_id node;
    state::endpoint datagrams;
};

/// \brief An address to send to, and the range that its receiver forwards the message to.
struct broadcast_target
{
    state::endpoint to;
    coordination::broadcast_range subrange;
    bool has_subrange = false;
};

/// \brief Returns where the VM responsible for `range` sends message `message`.
[[nodiscard]] std::vector<broadcast_target> targets_of(coordination::broadcast_range const& range,
                                                       std::uint64_t message,
                                                       std::span<broadcast_peer const> peers,
                                                       std::size_t fan_out);

} // namespace plumdale::transport
