#include "quarantine_tracker.hpp"

#include "boot_clock.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part_name = "quarantine";
constexpr std::string_view own = "own call";
constexpr std::string_view peer = "fleet";

} // namespace

quarantine_tracker::quarantine_tracker(decision_log& log, forward_metrics& metrics)
    : log_{log}, metrics_{metrics}
{
}

// -- ends of upstreams ----------------------------------------------------------------------------

void quarantine_tracker::upstream_ended(request_attempt const& attempt, state::member_key member,
                                        std::string_view name)
{
    auto const& [request, parts] = attempt.content;
    if (known_.prompts.is_any_unproven(parts, boot_now()))
    {
        // Upstreams that live on reset connections too, or break off answers, so a crash counts
        // only if the upstream accepts no connection after it.
        auto& ends = in_doubt_[member];
        ends.push_back({request,
                        {parts.begin(), parts.end()},
                        std::string{attempt.id},
                        std::string{name},
                        attempt.is_trial});
        if (ends.size() == 1)
        {
            on_end_in_doubt(member);
        }
    }
    if (!known_.requests.upstream_ended(request, member, boot_now()))
    {
        return;
    }
    metrics_.add(forward_count::upstream_ends);
    log_change(known_.requests.refused_for(request, boot_now()) > state::duration::zero()
                   ? "refused from now on"
                   : "upstream ended",
               attempt, name, own);
    on_changed();
}

void quarantine_tracker::end_checked(state::member_key member, bool is_up)
{
    auto const found = in_doubt_.find(member);
    if (found == in_doubt_.end())
    {
        return;
    }
    std::vector<end_in_doubt> const ends = std::move(found->second);
    in_doubt_.erase(found);
    for (end_in_doubt const& each : ends)
    {
        if (!is_up)
        {
            record_crash(each, member);
        }
    }
    on_changed();
}

void quarantine_tracker::record_crash(end_in_doubt const& end, state::member_key member)
{
    if (!known_.prompts.upstream_crashed(end.parts, end.request, member, end.is_trial, boot_now()))
    {
        return;
    }
    metrics_.add(forward_count::upstream_crashes);
    for (state::prompt_part const each : end.parts)
    {
        if (known_.prompts.crash_count(each) != 0)
        {
            log_part(known_.prompts.is_refused(each) ? "part refused from now on"
                                                     : "upstream crashed",
                     each, end.id, end.upstream, own);
        }
    }
}

// -- answers --------------------------------------------------------------------------------------

void quarantine_tracker::answered(request_attempt const& attempt)
{
    record_sound(attempt);
    if (known_.requests.answered(attempt.content.request, boot_now()))
    {
        log_change("cleared", attempt, {}, own);
        on_changed();
    }
}

void quarantine_tracker::answer_goes_on(request_attempt const& attempt)
{
    record_sound(attempt);
}

void quarantine_tracker::record_sound(request_attempt const& attempt)
{
    for (state::prompt_part const each : attempt.content.parts)
    {
        bool const was_refused = known_.prompts.is_refused(each);
        known_.prompts.answered({&each, 1}, boot_now());
        if (was_refused)
        {
            log_part("part cleared", each, attempt.id, {}, own);
        }
    }
}

// -- peers ----------------------------------------------------------------------------------------

void quarantine_tracker::apply_updates(std::span<coordination::request_evidence const> received)
{
    coordination::request_quarantine& requests = known_.requests;
    for (coordination::request_evidence const& each : received)
    {
        state::time_point const now = boot_now();
        bool const was_refused = requests.refused_for(each.request, now) > state::duration::zero();
        requests.apply_update(each, now);
        bool const is_refused = requests.refused_for(each.request, now) > state::duration::zero();
        if (was_refused != is_refused)
        {
            log_change(is_refused ? "refused from now on" : "cleared", {{each.request, {}}, {}}, {},
                       peer);
        }
    }
}

void quarantine_tracker::apply_updates(std::span<coordination::part_evidence const> received,
                                       state::duration reply_delay)
{
    // One time for all rows: those of one crash stay at one time.
    state::time_point const now = boot_now();
    for (coordination::part_evidence const& each : received)
    {
        bool const was_refused = known_.prompts.is_refused(each.part);
        known_.prompts.apply_update(each, reply_delay, now);
        bool const is_refused = known_.prompts.is_refused(each.part);
        if (was_refused != is_refused)
        {
            log_part(is_refused ? "part refused from now on" : "part cleared", each.part, {}, {},
                     peer);
        }
    }
}

// -- decisions ------------------------------------------------------------------------------------

bool quarantine_tracker::refuses(coordination::call_content const& content)
{
    return known_.refuses(content, boot_now());
}

bool quarantine_tracker::refuses_request(state::request_digest request)
{
    return known_.refuses_request(request, boot_now());
}

std::optional<state::prompt_part>
quarantine_tracker::due_trial(coordination::call_content const& content)
{
    return known_.due_trial(content, boot_now());
}

void quarantine_tracker::begin_trial(request_attempt const& attempt, state::prompt_part part)
{
    metrics_.add(forward_count::part_trials);
    known_.prompts.begin_trial(part, coordination::prompt_quarantine::trial_time, boot_now());
    log_part("part tried again", part, attempt.id, {}, own);
}

void quarantine_tracker::end_trial(state::prompt_part part)
{
    known_.prompts.end_trial(part, boot_now());
}

void quarantine_tracker::hand_over_trial(state::prompt_part part)
{
    known_.prompts.begin_trial(part, coordination::prompt_quarantine::hand_over_interval,
                               boot_now());
}

// Requests and parts that were answered here are reported to peers with the next sweep, not at
// once: all VMs that had them answered learn of an upstream's end under them at the same time, and
// one report of an answer is enough.
void quarantine_tracker::sweep()
{
    known_.requests.forget(boot_now());
    known_.prompts.forget(boot_now());
    on_changed();
}

// -- log ------------------------------------------------------------------------------------------

void quarantine_tracker::log_change(std::string_view decision, request_attempt const& attempt,
                                    std::string_view upstream, std::string_view source)
{
    state::request_digest const request = attempt.content.request;
    log_.write(part_name, decision, attempt.id,
               {{"request", protocol::to_hex(request.value)},
                {"upstream", upstream},
                {"upstreams_ended",
                 static_cast<std::int64_t>(known_.requests.ended_upstream_count(request))},
                {"source", source}});
}

void quarantine_tracker::log_part(std::string_view decision, state::prompt_part part,
                                  std::string_view id, std::string_view upstream,
                                  std::string_view source)
{
    log_.write(part_name, decision, id,
               {{"part_of_prompt", protocol::to_hex(part.value)},
                {"upstream", upstream},
                {"upstreams_crashed", static_cast<std::int64_t>(known_.prompts.crash_count(part))},
                {"source", source}});
}

} // namespace plumdale::transport
