#include <plumdale/coordination/cold_share.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr state::duration second = std::chrono::seconds{1};
// Sends are remembered for as long as any allowance is counted over.
constexpr state::duration remembered = std::chrono::seconds{10};

// An allowance of less than one request a second is one in a longer time.
state::duration counted_over(state::cold_limits const& limits)
{
    double const least_rate = second / std::chrono::duration<double>{remembered};
    double const rate = std::clamp(limits.requests_per_second, least_rate, 1.0);
    return std::chrono::duration_cast<state::duration>(second / rate);
}

} // namespace

bool cold_share::may_send(state::member_key member, state::cold_limits const& limits,
                          state::time_point now) const
{
    if (!is_settled(now))
    {
        return false;
    }
    // Also those that are silent: cut off from this VM, they send all the same.
    std::size_t const sharing = fleet_.peers().size() + 1;
    auto const allowance =
        static_cast<std::size_t>(std::max(1.0, std::floor(limits.requests_per_second)));
    if (sharing > allowance && rank_for(member) >= allowance)
    {
        return false;
    }
    std::size_t const own = std::max<std::size_t>(1, allowance / sharing);
    auto const found = sent_.find(member);
    if (found == sent_.end())
    {
        return true;
    }
    state::time_point const since = now - counted_over(limits);
    auto const lately = static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [since](state::time_point at) { return at > since; }));
    return lately < own;
}

void cold_share::note_sent(state::member_key member, state::time_point now)
{
    std::deque<state::time_point>& sent = sent_[member];
    while (!sent.empty() && sent.front() + remembered < now)
    {
        sent.pop_front();
    }
    sent.push_back(now);
}

void cold_share::forget(state::time_point now)
{
    std::erase_if(sent_, [now](auto const& row) { return row.second.back() + remembered < now; });
}

bool cold_share::is_settled(state::time_point now) const noexcept
{
    return now >= started_ + settling && now >= fleet_.last_joined() + settling;
}

std::size_t cold_share::rank_for(state::member_key member) const
{
    std::uint64_t const own = state::mix(self_.value, member.value);
    return static_cast<std::size_t>(
        std::count_if(fleet_.peers().begin(), fleet_.peers().end(),
                      [member, own](auto const& each)
                      { return state::mix(each.first.value, member.value) < own; }));
}

} // namespace plumdale::coordination
