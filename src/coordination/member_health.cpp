#include <plumdale/coordination/member_health.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void member_health::note(state::member_key member, call_result result, state::time_point now)
{
    if (result == call_result::busy)
    {
        return;
    }
    record& row = records_[member];
    double const failed = result == call_result::good ? 0.0 : 1.0;
    row.failures += newest_share * (failed - row.failures);
    bool const aside =
        result == call_result::unreachable || (failed > 0.0 && row.failures > failure_limit);
    if (result == call_result::good)
    {
        row.pause = first_pause;
    }
    // Calls that were under way when it was set aside don't count again.
    if (aside && now >= row.aside_until)
    {
        row.aside_until = now + row.pause;
        row.pause = std::min(longest_pause, row.pause * 2);
    }
}

double member_health::penalty(state::member_key member, state::time_point now) const
{
    auto const found = records_.find(member);
    if (found == records_.end())
    {
        return 0.0;
    }
    if (now < found->second.aside_until)
    {
        return 1.0;
    }
    return found->second.failures > failure_limit ? 0.5 : 0.0;
}

state::time_point member_health::aside_until(state::member_key member) const
{
    auto const found = records_.find(member);
    return found == records_.end() ? state::time_point{} : found->second.aside_until;
}

void member_health::forget(state::member_key member)
{
    records_.erase(member);
}

} // namespace plumdale::coordination
