#include "generation_owner.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

/// \brief Wait before the second resumption in a row; doubled for each further one.
constexpr state::duration initial_resume_backoff = std::chrono::milliseconds{200};

} // namespace

// -- streams --------------------------------------------------------------------------------------

void generation_owner::unregister_stream(generation_record& record)
{
    by_stream_.erase(record.stream);
    record.stream = {};
}

void generation_owner::abort_stream(generation_record& record)
{
    if (record.stream)
    {
        core_.emit(close_stream{record.stream});
        unregister_stream(record);
    }
}

void generation_owner::resume(generation_record& record)
{
    count(core_.counts.resumed);
    record.stream = state::stream_handle{++streams_opened_ * core_.settings().shards + core_.index};
    record.resume_at = state::never;
    record.silent_since = core_.now;
    record.gaps.restart();
    by_stream_[record.stream] = &record;
    open_stream open;
    open.stream = record.stream;
    open.mode = stream_mode::resume;
    open.upstream = record.upstream;
    open.address = record.address;
    open.generation = record.id;
    open.from_index = record.next_index;
    open.kind = record.request.kind;
    open.model = record.request.model;
    core_.emit(std::move(open));
    if (record.blocked_since != state::never)
    {
        core_.emit(pause_stream{record.stream});
    }
    arm_timer(record);
}

void generation_owner::probe_next_upstream(generation_record& record)
{
    upstream_view const* next = nullptr;
    std::uint64_t best_weight = 0;
    for (upstream_view const& view : core_.view().upstreams)
    {
        bool const tried = std::find(record.failed.begin(), record.failed.end(), view.info.id) !=
                           record.failed.end();
        bool const matches = view.info.kind == state::upstream_kind::engine &&
                             (!record.request.model || view.info.model == record.request.model);
        std::uint64_t const weight = state::mix(view.info.id.value, record.id.sequence);
        if (!tried && matches && weight >= best_weight)
        {
            best_weight = weight;
            next = &view;
        }
    }
    if (next == nullptr || record.probes >= core_.settings().probe_count)
    {
        return restart_or_give_up(record, true);
    }
    ++record.probes;
    record.upstream = next->info.id;
    record.address = next->info.address;
    resume(record);
}

void generation_owner::on(upstream_started const& /*event*/) {}

void generation_owner::on(upstream_token const& event)
{
    generation_record* const record = find_by_stream(event.stream);
    if (record == nullptr)
    {
        return count(core_.counts.late);
    }
    // An engine or a proxy may mix up exchanges: a caller would receive another caller's tokens.
    if (event.generation != record->id && core_.enabled(safeguard::token_identity))
    {
        return count(core_.counts.wrong_identity);
    }
    if (event.index < record->next_index && core_.enabled(safeguard::token_index))
    {
        return count(core_.counts.duplicate);
    }
    if (event.index > record->next_index && core_.enabled(safeguard::token_index))
    {
        count(core_.counts.skipped);
        abort_stream(*record);
        return lost(*record);
    }
    // First tokens of resumed streams count too: if only fast ones counted, engines that all become
    // slow would be taken for dead for ever.
    if (record->started_at != state::never)
    {
        state::time_point const started = std::exchange(record->started_at, state::never);
        first_token_times_[kind_index(*record)].note(core_.now - started);
    }
    static_cast<void>(record->lifecycle.apply(lifecycle_event::token));
    record->resume_attempts = 0;
    record->silent_since = core_.now;
    record->gaps.token(core_.now);
    record->next_index = event.index + 1;
    if (record->policy_stream && event.index >= record->reported_tokens)
    {
        record->reported_tokens = event.index + 1;
        policy_.token(record->policy_stream, event.index, core_.now);
    }
    deliver(*record, event);
}

void generation_owner::deliver(generation_record& record, upstream_token const& token)
{
    if (std::exchange(record.probing, false))
    {
        send_head_if_needed(record);
    }
    if (!record.request.streamed || !record.resumable())
    {
        record.collected_text += token.text;
    }
    if (record.request.streamed && record.caller)
    {
        record.token_delivered = true;
        core_.emit(
            send_token{record.caller, token.generation, record.upstream, token.index, token.text});
    }
}

void generation_owner::on(upstream_finished const& event)
{
    generation_record* const record = find_by_stream(event.stream);
    if (record == nullptr)
    {
        return count(core_.counts.late);
    }
    if (event.generation != record->id && core_.enabled(safeguard::token_identity))
    {
        return count(core_.counts.wrong_identity);
    }
    if (event.count != record->next_index && core_.enabled(safeguard::token_index))
    {
        count(core_.counts.skipped);
        abort_stream(*record);
        return lost(*record);
    }
    unregister_stream(*record);
    record->status = event.status;
    finish(*record, event.count);
}

void generation_owner::finish(generation_record& record, std::uint32_t tokens)
{
    if (record.policy_stream)
    {
        policy_.ended(std::exchange(record.policy_stream, {}), tokens, stream_outcome::finished,
                      core_.now);
    }
    static_cast<void>(record.lifecycle.apply(lifecycle_event::finish));
    if (record.caller)
    {
        core_.emit(send_finished{record.caller, record.id, tokens,
                                 record.request.streamed ? std::string{} : record.collected_text,
                                 record.status});
    }
    end(record, true);
    dispatch_queue_heads();
}

void generation_owner::on(upstream_failed const& event)
{
    generation_record* const record = find_by_stream(event.stream);
    if (record == nullptr)
    {
        return count(core_.counts.late);
    }
    unregister_stream(*record);
    bool const first_exchange = record->lifecycle.state() == lifecycle_state::starting;
    switch (event.cause)
    {
    case upstream_failure::not_connected:
    case upstream_failure::refused:
        if (first_exchange)
        {
            return retry_not_run(*record);
        }
        if (record->probing)
        {
            record->failed.push_back(record->upstream);
            return probe_next_upstream(*record);
        }
        return may_restart(*record) ? restart(*record) : lost(*record);
    case upstream_failure::unknown_generation:
        if (record->probing)
        {
            record->failed.push_back(record->upstream);
            return probe_next_upstream(*record);
        }
        return restart_or_give_up(*record, true);
    case upstream_failure::broken:
    case upstream_failure::invalid:
        return lost(*record);
    }
}

void generation_owner::lost(generation_record& record)
{
    bool const may_resume =
        record.resumable() && record.resume_attempts < core_.settings().resume_count;
    if (!may_resume || !record.lifecycle.apply(lifecycle_event::lost))
    {
        return restart_or_give_up(record, false);
    }
    if (++record.resume_attempts == 1)
    {
        return resume(record);
    }
    record.resume_at = core_.now + initial_resume_backoff * (1U << (record.resume_attempts - 2));
    arm_timer(record);
}

void generation_owner::restart_or_give_up(generation_record& record, bool unknown_at_upstream)
{
    if (may_restart(record))
    {
        return restart(record);
    }
    state::error_kind const kind = error_kind_for(record);
    bool const not_found =
        unknown_at_upstream && record.read_only && record.request.op == state::operation::attach;
    give_up(record, not_found ? state::error_kind::unknown_generation : kind, {});
}

} // namespace plumdale::coordination
