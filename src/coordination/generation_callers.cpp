#include "generation_owner.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// -- callers --------------------------------------------------------------------------------------

bool generation_owner::has(state::caller_handle caller) const noexcept
{
    return by_caller_.contains(caller);
}

void generation_owner::bind_caller(generation_record& record, attached_caller const& caller)
{
    record.caller = caller.handle;
    record.caller_is_peer = caller.is_peer;
    record.head_sent = false;
    record.token_delivered = record.token_delivered || caller.next_index > 0;
    record.detached_at = state::never;
    record.blocked_since = state::never;
    by_caller_[caller.handle] = &record;
}

void generation_owner::release_caller(generation_record& record)
{
    by_caller_.erase(record.caller);
    record.caller = {};
    if (std::exchange(record.blocked_since, state::never) != state::never && record.stream)
    {
        core_.emit(continue_stream{record.stream});
        record.gaps.restart();
        record.silent_since = core_.now;
    }
}

// Two connections that read one generation would each get a part of it, because the stream feeds
// only one. The earlier caller is refused as superseded, since a silent connection may still have a
// reader.
void generation_owner::supersede_caller(generation_record& record)
{
    if (!record.caller)
    {
        return;
    }
    count(core_.counts.superseded);
    if (core_.enabled(safeguard::single_caller))
    {
        core_.refuse(record.caller, state::error_kind::superseded, {}, record.id,
                     record.next_index);
    }
    release_caller(record);
}

void generation_owner::send_head_if_needed(generation_record& record)
{
    bool const needs_head = record.request.streamed ? !record.head_sent : false;
    if (!record.caller || !(needs_head || record.caller_is_peer))
    {
        return;
    }
    record.head_sent = true;
    core_.emit(send_head{record.caller, record.id, record.upstream});
}

void generation_owner::on_caller_disconnected(state::caller_handle caller)
{
    generation_record& record = *by_caller_.at(caller);
    release_caller(record);
    detach(record);
}

// A billed generation runs on when its caller disconnects, and a repeat reads its answer. If it
// were cancelled, the repeat would be refused as "may have run" with no answer to read.
void generation_owner::detach(generation_record& record)
{
    if (record.read_only)
    {
        return end(record, false);
    }
    if (!record.lifecycle.may_be_running())
    {
        return cancel_unstarted(record);
    }
    if (!record.request.repeatable && core_.enabled(safeguard::detached_finish))
    {
        return;
    }
    if (!record.head_sent)
    {
        return stop(record);
    }
    record.detached_at = core_.now;
    arm_timer(record);
}

// A reserved identity stays valid when its caller disconnects before the dispatch.
void generation_owner::cancel_unstarted(generation_record& record)
{
    state::request const request = record.request;
    state::generation_id const id = record.id;
    bool const reserved = request.generation && record.starts == 0;
    stop(record);
    if (reserved)
    {
        generation_record& reservation = add(id, request);
        reservation.expires_at = core_.now + core_.settings().reservation_time;
        arm_timer(reservation);
    }
}

void generation_owner::on_caller_blocked(state::caller_handle caller)
{
    generation_record& record = *by_caller_.at(caller);
    record.blocked_since = core_.now;
    if (record.stream)
    {
        core_.emit(pause_stream{record.stream});
    }
    arm_timer(record);
}

void generation_owner::on_caller_ready(state::caller_handle caller)
{
    generation_record& record = *by_caller_.at(caller);
    record.blocked_since = state::never;
    record.gaps.restart();
    record.silent_since = core_.now;
    if (record.stream)
    {
        core_.emit(continue_stream{record.stream});
    }
    arm_timer(record);
}

// -- answers --------------------------------------------------------------------------------------

state::error_kind generation_owner::error_kind_for(generation_record const& record) const noexcept
{
    bool const has_tokens = record.request.streamed && record.next_index > 0;
    if (has_tokens)
    {
        return state::error_kind::interrupted;
    }
    if (record.read_only && record.request.op == state::operation::attach)
    {
        return state::error_kind::interrupted;
    }
    bool const may_have_run = record.read_only || record.possible_runs > 0;
    return may_have_run && core_.enabled(safeguard::truthful_refusal)
               ? state::error_kind::may_have_run
               : state::error_kind::no_upstream;
}

/// Ends the wait of a caller at its deadline: a later answer would be useless and hold a
/// connection.
void generation_owner::on_request_deadline(generation_record& record)
{
    record.request.deadline = state::never;
    if (record.lifecycle.state() == lifecycle_state::waiting && record.possible_runs == 0)
    {
        return give_up(record, state::error_kind::deadline_not_run,
                       core_.view().preset.retry_after);
    }
    if (record.caller)
    {
        core_.refuse(record.caller, error_kind_for(record), {}, record.id, record.next_index);
        release_caller(record);
    }
    detach(record);
}

void generation_owner::give_up(generation_record& record, state::error_kind kind,
                               state::duration retry_after)
{
    if (record.caller)
    {
        bool const uses_preset_delay =
            state::answer_for(kind).retry_after && retry_after == state::duration{};
        core_.refuse(record.caller, kind,
                     uses_preset_delay ? core_.view().preset.retry_after : retry_after, record.id,
                     record.next_index);
    }
    end(record, false);
}

} // namespace plumdale::coordination
