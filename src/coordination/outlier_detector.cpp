#include <plumdale/coordination/outlier_detector.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void outlier_detector::note(state::member_key member, call_result result, state::time_point now)
{
    if (result == call_result::busy)
    {
        return;
    }
    record& row = records_[member];
    double const failed = result == call_result::good ? 0.0 : 1.0;
    row.failure_rate += smoothing_factor * (failed - row.failure_rate);
    bool const eject = result == call_result::unreachable ||
                       (failed > 0.0 && row.failure_rate > failure_rate_limit);
    if (result == call_result::good)
    {
        row.ejection_time = initial_ejection_time;
    }
    // Calls that were in flight when the upstream was ejected don't prolong the ejection.
    if (eject && now >= row.ejected_until)
    {
        row.ejected_until = now + row.ejection_time;
        row.ejection_time = std::min(max_ejection_time, row.ejection_time * 2);
    }
}

double outlier_detector::penalty(state::member_key member, state::time_point now) const
{
    auto const found = records_.find(member);
    if (found == records_.end())
    {
        return 0.0;
    }
    if (now < found->second.ejected_until)
    {
        return 1.0;
    }
    return found->second.failure_rate > failure_rate_limit ? 0.5 : 0.0;
}

state::time_point outlier_detector::ejected_until(state::member_key member) const
{
    auto const found = records_.find(member);
    return found == records_.end() ? state::time_point{} : found->second.ejected_until;
}

void outlier_detector::forget(state::member_key member)
{
    records_.erase(member);
}

} // namespace plumdale::coordination
