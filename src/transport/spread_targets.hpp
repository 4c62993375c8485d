#pragma once

#include <plumdale/coordination/spread_tree.hpp>
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
struct offer_peer
{
    state::node_id node;
    state::endpoint datagrams;
};

/// \brief An address to send to, and the range that is passed on from there.
struct spread_target
{
    state::endpoint to;
    coordination::spread_range rest;
    bool has_rest = false;
};

/// \brief Returns to whom message `message` goes from the holder of `range`.
[[nodiscard]] std::vector<spread_target> targets_of(coordination::spread_range const& range,
                                                    std::uint64_t message,
                                                    std::span<offer_peer const> peers,
                                                    std::size_t fan_out);

} // namespace plumdale::transport
