#include "quarantine_tracker.hpp"

#include "boot_clock.hpp"

#include <plumdale/protocol/generation_text.hpp>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part = "quarantine";
constexpr std::string_view own = "own call";
constexpr std::string_view peer = "fleet";

} // namespace

quarantine_tracker::quarantine_tracker(decision_log& log, forward_metrics& metrics)
    : log_{log}, metrics_{metrics}
{
}

void quarantine_tracker::upstream_ended(request_attempt const& attempt, state::member_key member,
                                        std::string_view name)
{
    if (!known_.upstream_ended(attempt.request, member, boot_now()))
    {
        return;
    }
    metrics_.add(forward_count::upstream_ends);
    log_change(known_.refused_for(attempt.request, boot_now()) > state::duration::zero()
                   ? "refused from now on"
                   : "upstream ended",
               attempt, name, own);
    on_changed();
}

void quarantine_tracker::answered(request_attempt const& attempt)
{
    if (known_.answered(attempt.request, boot_now()))
    {
        log_change("cleared", attempt, {}, own);
        on_changed();
    }
}

void quarantine_tracker::apply_updates(std::span<coordination::request_evidence const> received)
{
    for (coordination::request_evidence const& each : received)
    {
        state::time_point const now = boot_now();
        bool const was_refused = known_.refused_for(each.request, now) > state::duration::zero();
        known_.apply_update(each, now);
        bool const is_refused = known_.refused_for(each.request, now) > state::duration::zero();
        if (was_refused != is_refused)
        {
            log_change(is_refused ? "refused from now on" : "cleared", {each.request, {}}, {},
                       peer);
        }
    }
}

bool quarantine_tracker::refuses(state::request_digest request)
{
    return known_.refuses(request, boot_now());
}

// Requests that were answered here are reported to peers with the next sweep, not at once: all VMs
// that had such a request answered learn of an upstream's end under it at the same time, and one
// report of an answer is enough.
void quarantine_tracker::sweep()
{
    known_.forget(boot_now());
    on_changed();
}

void quarantine_tracker::log_change(std::string_view decision, request_attempt const& attempt,
                                    std::string_view upstream, std::string_view source)
{
    log_.write(part, decision, attempt.id,
               {{"request", protocol::to_hex(attempt.request.value)},
                {"upstream", upstream},
                {"upstreams_ended",
                 static_cast<std::int64_t>(known_.ended_upstream_count(attempt.request))},
                {"source", source}});
}

} // namespace plumdale::transport
