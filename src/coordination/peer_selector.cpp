#include <plumdale/coordination/peer_selector.hpp>

#include <algorithm>
#include <array>

namespace plumdale::coordination
{
namespace
{

bool contains(std::span<state::node_id const> nodes, state::node_id node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

} // namespace

std::optional<selected_peer> peer_selector::choose(std::span<state::node_id const> candidates,
                                                   std::span<state::node_id const> excluded,
                                                   state::time_point now)
{
    std::optional<selected_peer> chosen;
    std::size_t seen = 0;
    for (auto const& [node, peer] : fleet_.peers())
    {
        auto const passed_over = passed_over_until_.find(node);
        bool const may_help =
            fleet_.is_live(peer, now) &&
            (passed_over == passed_over_until_.end() || now >= passed_over->second) &&
            (candidates.empty() || contains(candidates, node)) && !contains(excluded, node);
        if (!may_help)
        {
            continue;
        }
        // Each of the first n is chosen with probability 1/n.
        ++seen;
        if (std::uniform_int_distribution<std::size_t>{1, seen}(random_) == seen)
        {
            chosen = selected_peer{node, peer.streams};
        }
    }
    return chosen;
}

void peer_selector::refused(state::node_id node, peer_refusal why, state::time_point now)
{
    static constexpr std::array<state::duration, 4> times{unreachable_time, declined_time,
                                                          out_of_step_time, at_capacity_time};
    passed_over_until_[node] = now + times[static_cast<std::size_t>(why)];
}

void peer_selector::sweep(state::time_point now)
{
    std::erase_if(passed_over_until_, [now](auto const& each) { return now >= each.second; });
}

} // namespace plumdale::coordination
