#include <plumdale/coordination/least_in_flight.hpp>

#include <algorithm>

namespace plumdale::coordination
{

dispatch_decision least_in_flight::decide(dispatch_attempt const& attempt,
                                          fleet_snapshot const& fleet, state::time_point /*now*/)
{
    dispatch_decision decision;
    decision.kind = state::error_kind::no_upstream;
    decision.retry_after = fleet.preset.retry_after;
    std::uint32_t fewest = UINT32_MAX;
    for (upstream_view const& view : fleet.upstreams_of(attempt.request.model))
    {
        bool const failed = std::find(attempt.failed.begin(), attempt.failed.end(), view.info.id) !=
                            attempt.failed.end();
        if (!view.accepting || failed)
        {
            continue;
        }
        std::uint32_t const streams = view.gauge->in_flight.load(std::memory_order_relaxed);
        if (streams < fewest)
        {
            fewest = streams;
            decision.verdict = dispatch_verdict::dispatch;
            decision.upstream = &view;
        }
    }
    return decision;
}

void least_in_flight::started(state::stream_handle stream, state::request const& /*request*/,
                              upstream_view const& upstream, state::time_point /*now*/)
{
    upstream.gauge->in_flight.fetch_add(1, std::memory_order_relaxed);
    streams_[stream] = upstream.gauge;
}

void least_in_flight::token(state::stream_handle /*stream*/, std::uint32_t /*index*/,
                            state::time_point /*now*/)
{
}

void least_in_flight::ended(state::stream_handle stream, std::uint32_t /*tokens*/,
                            stream_outcome /*outcome*/, state::time_point /*now*/)
{
    if (auto const found = streams_.find(stream); found != streams_.end())
    {
        found->second->in_flight.fetch_sub(1, std::memory_order_relaxed);
        streams_.erase(found);
    }
}

} // namespace plumdale::coordination
