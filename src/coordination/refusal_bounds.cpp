#include <plumdale/coordination/refusal_bounds.hpp>

#include <algorithm>

namespace plumdale::coordination
{

std::size_t refusal_bounds::usable(double per_second) noexcept
{
    // Keeps the arithmetic in range whatever an answer states.
    constexpr double max_per_second = 1e6;
    return static_cast<std::size_t>(used_fraction * std::min(per_second, max_per_second));
}

std::size_t refusal_bounds::sender_count(double per_second, std::size_t vms) noexcept
{
    return std::clamp<std::size_t>(usable(per_second), 1, vms);
}

std::size_t refusal_bounds::share_of(state::member_key member) const
{
    auto const bound = statements_.shared_limit_of(member);
    if (!bound)
    {
        return SIZE_MAX;
    }
    bool const is_sender = bound->rank < sender_count(bound->per_second, bound->vms);
    return is_sender ? std::max<std::size_t>(1, usable(bound->per_second) / bound->vms) : 0;
}

// Counted from the first statement on: requests that were sent before are not known to be open, but
// upstreams state the bound some seconds before it counts.
bool refusal_bounds::may_send(state::member_key member, state::time_point now) const
{
    std::size_t const share = share_of(member);
    auto const found = rows_.find(member);
    if (found == rows_.end() || share == 0)
    {
        return share > 0;
    }
    auto const& refused = found->second.refused_at;
    auto const recent = std::count_if(refused.begin(), refused.end(),
                                      [now](state::time_point at) { return now < at + window; });
    return found->second.open + static_cast<std::size_t>(recent) < share;
}

void refusal_bounds::note_sent(state::member_key member)
{
    ++rows_[member].open;
}

void refusal_bounds::note_settled(state::member_key member, send_outcome outcome,
                                  state::time_point now)
{
    row& counts = rows_[member];
    counts.open -= counts.open > 0 ? 1 : 0;
    if (outcome != send_outcome::accepted)
    {
        counts.refused_at.push_back(now);
    }
}

std::vector<state::node_id> refusal_bounds::peers_with_share(state::member_key member) const
{
    auto const bound = statements_.shared_limit_of(member);
    return bound ? statements_.peers_of_lowest_ranks(member,
                                                     sender_count(bound->per_second, bound->vms))
                 : std::vector<state::node_id>{};
}

void refusal_bounds::sweep(state::time_point now)
{
    for (auto& [member, counts] : rows_)
    {
        while (!counts.refused_at.empty() && now >= counts.refused_at.front() + window)
        {
            counts.refused_at.pop_front();
        }
    }
    std::erase_if(rows_, [](auto const& each)
                  { return each.second.open == 0 && each.second.refused_at.empty(); });
}

} // namespace plumdale::coordination
