#include "spread_targets.hpp"

#include <algorithm>

namespace plumdale::transport
{

std::vector<spread_target> targets_of(coordination::spread_range const& range,
                                      std::uint64_t message, std::span<offer_peer const> peers,
                                      std::size_t fan_out)
{
    std::vector<state::node_id> nodes;
    for (offer_peer const& peer : peers)
    {
        nodes.push_back(peer.node);
    }
    std::vector<spread_target> targets;
    for (coordination::spread_branch const& branch :
         coordination::branches_of(range, message, nodes, fan_out))
    {
        auto const head =
            std::find_if(peers.begin(), peers.end(),
                         [&branch](offer_peer const& each) { return each.node == branch.head; });
        targets.push_back({head->datagrams, branch.rest, branch.has_rest});
    }
    return targets;
}

} // namespace plumdale::transport
