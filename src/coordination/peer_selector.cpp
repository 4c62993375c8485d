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
    std::optional<selected_peer> passed_over;
    std::size_t seen = 0;
    for (auto const& [node, peer] : fleet_.peers())
    {
        auto const last = refusals_.find(node);
        bool const has_refused = last != refusals_.end() && now < last->second.until;
        bool const may_help = fleet_.is_live(peer, now) &&
                              (!has_refused || last->second.why != peer_refusal::unreachable) &&
                              (candidates.empty() || contains(candidates, node)) &&
                              !contains(excluded, node);
        if (!may_help)
        {
            continue;
        }
        if (has_refused)
        {
            passed_over = selected_peer{node, peer.streams};
            continue;
        }
        // Each of the first n is chosen with probability 1/n.
        ++seen;
        if (std::uniform_int_distribution<std::size_t>{1, seen}(random_) == seen)
        {
            chosen = selected_peer{node, peer.streams};
        }
    }
    return chosen ? chosen : passed_over;
}

void peer_selector::refused(state::node_id node, peer_refusal why, state::time_point now)
{
    static constexpr std::array<state::duration, 4> times{unreachable_time, declined_time,
                                                          out_of_step_time, at_capacity_time};
    refusals_[node] = {why, now + times[static_cast<std::size_t>(why)]};
}

void peer_selector::sweep(state::time_point now)
{
    std::erase_if(refusals_, [now](auto const& each) { return now >= each.second.until; });
}

} // namespace plumdale::coordination
