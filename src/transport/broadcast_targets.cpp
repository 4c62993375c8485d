#include "broadcast_targets.hpp"

#include <algorithm>

namespace plumdale::transport
{

std::vector<broadcast_target> targets_of(coordination::broadcast_range const& range,
                                         std::uint64_t message,
                                         std::span<broadcast_peer const> peers, std::size_t fan_out)
{
    std::vector<state::node_id> nodes;
    for (broadcast_peer const& peer : peers)
    {
        nodes.push_back(peer.node);
    }
    std::vector<broadcast_target> targets;
    for (coordination::broadcast_branch const& branch :
         coordination::branches_of(range, message, nodes, fan_out))
    {
        auto const receiver = std::find_if(peers.begin(), peers.end(),
                                           [&branch](broadcast_peer const& each)
                                           { return each.node == branch.receiver; });
        targets.push_back({receiver->datagrams, branch.subrange, branch.has_subrange});
    }
    return targets;
}

} // namespace plumdale::transport
