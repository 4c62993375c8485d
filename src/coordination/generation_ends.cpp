#include "generation_owner.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// -- ends -----------------------------------------------------------------------------------------

void generation_owner::stop(generation_record& record)
{
    bool const running =
        record.lifecycle.may_be_running() && !record.read_only && record.resumable();
    if (running)
    {
        core_.emit(cancel_generation{record.upstream, record.address, record.id});
    }
    if (record.policy_stream)
    {
        policy_.ended(std::exchange(record.policy_stream, {}), record.reported_tokens,
                      stream_outcome::cancelled, core_.now);
    }
    end(record, false);
    if (running)
    {
        dispatch_queue_heads();
    }
}

void generation_owner::end(generation_record& record, bool whole)
{
    abort_stream(record);
    remove_from_queue(record);
    if (record.policy_stream)
    {
        policy_.ended(record.policy_stream, record.reported_tokens, stream_outcome::failed,
                      core_.now);
    }
    by_caller_.erase(record.caller);
    bool const own = record.id.owner == core_.settings().self.id &&
                     record.id.incarnation_number == core_.settings().self.incarnation_number;
    if (own && !record.read_only)
    {
        finished_generation ended{record.upstream,
                                  record.request.customer,
                                  record.next_index,
                                  record.request.kind,
                                  record.starts > 0 && record.possible_runs > 0,
                                  whole,
                                  nullptr,
                                  0,
                                  record.status};
        if (!ended.ran && record.request.key)
        {
            core_.keys.clear_generation(record.request.key);
        }
        if (whole && !record.resumable() && !record.request.repeatable)
        {
            ended.text = std::make_shared<std::string const>(std::move(record.collected_text));
        }
        for (state::generation_id const& former : record.former)
        {
            current_identities_.erase(former);
            finished_generation earlier = ended;
            earlier.text = nullptr;
            earlier.replaced_by = record.id.sequence;
            finished_.remember(former.sequence, std::move(earlier), core_.now);
        }
        finished_.remember(record.id.sequence, std::move(ended), core_.now);
    }
    if (record.counted_in_flight)
    {
        core_.remove_in_flight();
    }
    records_.erase(state::generation_id{record.id});
}

std::size_t generation_owner::kind_index(generation_record const& record) noexcept
{
    return static_cast<std::size_t>(record.request.kind);
}

// -- time -----------------------------------------------------------------------------------------

state::time_point generation_owner::silence_deadline(generation_record const& record) const
{
    if (!record.stream || record.blocked_since != state::never ||
        !core_.enabled(safeguard::silence_resume))
    {
        return state::never;
    }
    node_settings const& settings = core_.settings();
    state::duration const longest = settings.token_timeout;
    state::duration const first =
        first_token_times_[kind_index(record)].upper_bound(longest, settings.first_token_timeout);
    state::duration const timeout = record.gaps.timeout({first, longest / 3, longest});
    if (record.resume_attempts > 0 && may_restart(record))
    {
        return record.silent_since + std::min(timeout, longest);
    }
    // Each resumption without a token doubles the timeout: an engine that preempted the generation
    // accepts a resumption, but may need long for the next token.
    state::duration const max_timeout = std::max(settings.first_token_timeout, longest);
    return record.silent_since + std::min(timeout * (1U << record.resume_attempts), max_timeout);
}

state::time_point generation_owner::due_at(generation_record const& record) const
{
    node_settings const& settings = core_.settings();
    state::time_point due = std::min(
        {silence_deadline(record), record.resume_at, record.reevaluate_at, record.expires_at});
    if (record.caller && core_.enabled(safeguard::deadline_answer))
    {
        due = std::min(due, record.request.deadline);
    }
    if (record.blocked_since != state::never && core_.enabled(safeguard::slow_reader_bound))
    {
        due = std::min(due, record.blocked_since + settings.slow_reader_time);
    }
    if (record.detached_at != state::never)
    {
        due = std::min(due, record.detached_at + settings.reattach_time);
    }
    return due;
}

void generation_owner::arm_timer(generation_record& record)
{
    // The deadline is never in the past: the shard takes one that is handled late for a pause of
    // the process.
    state::time_point const due = std::max(due_at(record), core_.now);
    if (due < record.timer_at)
    {
        record.timer_at = due;
        core_.deadlines.push({due, record.id, {}});
    }
}

void generation_owner::on_deadline(state::generation_id const& id)
{
    generation_record* const record = find(id);
    if (record == nullptr)
    {
        return;
    }
    record->timer_at = state::never;
    if (core_.now < due_at(*record))
    {
        return arm_timer(*record);
    }
    if (record->lifecycle.state() == lifecycle_state::reserved ||
        record->detached_at != state::never)
    {
        stop(*record);
    }
    else if (record->caller && core_.now >= record->request.deadline &&
             core_.enabled(safeguard::deadline_answer))
    {
        on_request_deadline(*record);
    }
    else if (record->blocked_since != state::never &&
             core_.now >= record->blocked_since + core_.settings().slow_reader_time)
    {
        state::caller_handle const caller = record->caller;
        core_.refuse(caller, state::error_kind::interrupted, core_.view().preset.retry_after,
                     record->id, record->next_index);
        on_caller_disconnected(caller);
    }
    else if (core_.now >= record->resume_at)
    {
        resume(*record);
    }
    else if (core_.now >= record->reevaluate_at)
    {
        record->reevaluate_at = state::never;
        dispatch(*record);
    }
    else
    {
        on_silence_timeout(*record);
    }
    if (generation_record* const remaining = find(id))
    {
        arm_timer(*remaining);
    }
}

// One resumption distinguishes a silent connection from a silent engine. If silence continues after
// it, work that may run on another engine is restarted at once.
void generation_owner::on_silence_timeout(generation_record& record)
{
    abort_stream(record);
    if (record.resume_attempts > 0 && may_restart(record))
    {
        return restart(record);
    }
    lost(record);
}

void generation_owner::reset_silence_timers()
{
    for (auto& [id, record] : records_)
    {
        record->gaps.restart();
        record->silent_since = core_.now;
    }
}

generation_record* generation_owner::find(state::generation_id const& id)
{
    auto const renamed = current_identities_.find(id);
    auto const found = records_.find(renamed == current_identities_.end() ? id : renamed->second);
    return found == records_.end() ? nullptr : found->second.get();
}

generation_record* generation_owner::find_by_stream(state::stream_handle stream)
{
    auto const found = by_stream_.find(stream);
    return found == by_stream_.end() ? nullptr : found->second;
}

} // namespace plumdale::coordination
