#include <plumdale/coordination/cold_upstream_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr state::duration second = std::chrono::seconds{1};
// Send times are kept for the longest window over which an allowance is counted.
constexpr state::duration longest_rate_window = std::chrono::seconds{10};

// An allowance of less than one request per second becomes one request in a longer window.
state::duration rate_window(state::cold_limits const& limits)
{
    double const min_rate = second / std::chrono::duration<double>{longest_rate_window};
    double const rate = std::clamp(limits.requests_per_second, min_rate, 1.0);
    return std::chrono::duration_cast<state::duration>(second / rate);
}

} // namespace

bool cold_upstream_limiter::may_send(state::member_key member, state::cold_limits const& limits,
                                     state::time_point now) const
{
    if (!is_settled(now))
    {
        return false;
    }
    // Silent peers count as well: if they are only cut off from this VM, they still send.
    std::size_t const vm_count = fleet_.peers().size() + 1;
    auto const allowance =
        static_cast<std::size_t>(std::max(1.0, std::floor(limits.requests_per_second)));
    if (vm_count > allowance && rank_for(member) >= allowance)
    {
        return false;
    }
    std::size_t const own_allowance = std::max<std::size_t>(1, allowance / vm_count);
    auto const found = send_times_.find(member);
    if (found == send_times_.end())
    {
        return true;
    }
    state::time_point const window_start = now - rate_window(limits);
    auto const recent_sends = static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [window_start](state::time_point at) { return at > window_start; }));
    return recent_sends < own_allowance;
}

void cold_upstream_limiter::note_sent(state::member_key member, state::time_point now)
{
    std::deque<state::time_point>& sent = send_times_[member];
    while (!sent.empty() && sent.front() + longest_rate_window < now)
    {
        sent.pop_front();
    }
    sent.push_back(now);
}

void cold_upstream_limiter::forget(state::time_point now)
{
    std::erase_if(send_times_,
                  [now](auto const& row) { return row.second.back() + longest_rate_window < now; });
}

bool cold_upstream_limiter::is_settled(state::time_point now) const noexcept
{
    return now >= started_ + settling_time && now >= fleet_.last_joined() + settling_time;
}

std::size_t cold_upstream_limiter::rank_for(state::member_key member) const
{
    std::uint64_t const own = state::mix(self_.value, member.value);
    return static_cast<std::size_t>(
        std::count_if(fleet_.peers().begin(), fleet_.peers().end(),
                      [member, own](auto const& each)
                      { return state::mix(each.first.value, member.value) < own; }));
}

} // namespace plumdale::coordination
