#include <plumdale/coordination/memory_cap_policy.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

memory_cap_policy::memory_cap_policy(std::unique_ptr<balancing_strategy> strategy, double cap)
    : strategy_{std::move(strategy)}, cap_{cap}
{
}

dispatch_decision memory_cap_policy::decide(dispatch_attempt const& attempt,
                                            fleet_snapshot const& fleet, state::time_point /*now*/)
{
    dispatch_decision decision;
    decision.kind = state::error_kind::no_upstream;
    decision.retry_after = fleet.preset.retry_after;
    bool const draft = attempt.request.kind == state::work_kind::draft;
    double const cap = draft || cap_ > 1.0 ? cap_ : 0.5 * (1.0 + cap_);
    candidates_.clear();
    for (upstream_view const& view : fleet.upstreams_of(attempt.request.model))
    {
        bool const failed = std::find(attempt.failed.begin(), attempt.failed.end(), view.info.id) !=
                            attempt.failed.end();
        if (!view.accepting || failed)
        {
            continue;
        }
        decision.kind = state::error_kind::overloaded;
        if (reported_utilization(*view.gauge) < cap)
        {
            candidates_.push_back(&view);
        }
    }
    if (!candidates_.empty())
    {
        decision.verdict = dispatch_verdict::dispatch;
        decision.upstream = strategy_->choose(candidates_);
    }
    return decision;
}

void memory_cap_policy::started(state::stream_handle stream, state::request const& /*request*/,
                                upstream_view const& upstream, state::time_point /*now*/)
{
    upstream.gauge->in_flight.fetch_add(1, std::memory_order_relaxed);
    streams_[stream] = upstream.gauge;
}

void memory_cap_policy::token(state::stream_handle /*stream*/, std::uint32_t /*index*/,
                              state::time_point /*now*/)
{
}

void memory_cap_policy::ended(state::stream_handle stream, std::uint32_t /*tokens*/,
                              stream_outcome /*outcome*/, state::time_point /*now*/)
{
    if (auto const found = streams_.find(stream); found != streams_.end())
    {
        found->second->in_flight.fetch_sub(1, std::memory_order_relaxed);
        streams_.erase(found);
    }
}

} // namespace plumdale::coordination
