#include <plumdale/coordination/broadcast_tree.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

struct placed_peer
{
    std::uint64_t place = 0;
    state::node_id node;
};

std::vector<placed_peer> peers_in(broadcast_range range, std::uint64_t message,
                                  std::span<state::node_id const> peers)
{
    std::uint64_t const begin = state::mix(range.origin.value, message);
    std::vector<placed_peer> placed;
    for (state::node_id const node : peers)
    {
        std::uint64_t const place = state::mix(node.value, message) - begin;
        if (range.first <= place && place <= range.last)
        {
            placed.push_back({place, node});
        }
    }
    std::sort(placed.begin(), placed.end(),
              [](placed_peer const& a, placed_peer const& b) { return a.place < b.place; });
    return placed;
}

} // namespace

std::vector<broadcast_branch> branches_of(broadcast_range range, std::uint64_t message,
                                          std::span<state::node_id const> peers,
                                          std::size_t fan_out)
{
    std::vector<placed_peer> const placed = peers_in(range, message, peers);
    std::size_t const parts = std::min(fan_out, placed.size());
    std::vector<broadcast_branch> branches;
    for (std::size_t part = 0; part < parts; ++part)
    {
        std::size_t const begin = placed.size() * part / parts;
        std::size_t const end = placed.size() * (part + 1) / parts;
        // The part extends to the receiver of the next one, so that a VM that only this receiver
        // knows is reached too.
        std::uint64_t const last = end == placed.size() ? range.last : placed[end].place - 1;
        std::uint64_t const place = placed[begin].place;
        bool const has_subrange = place < last;
        broadcast_range const subrange{range.origin, has_subrange ? place + 1 : last, last};
        branches.push_back({placed[begin].node, subrange, has_subrange});
    }
    return branches;
}

} // namespace plumdale::coordination
