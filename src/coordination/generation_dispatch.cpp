#include "generation_owner.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

/// \brief Maximum starts of one repeatable request; the policy's retry budget usually runs out
/// sooner.
constexpr std::uint32_t max_starts = 4;
/// \brief Number of lanes whose head request is dispatched again when a stream ends and frees
/// capacity.
constexpr std::size_t redispatched_lane_count = 16;
/// \brief Shortest wait before the policy decides on a waiting request again.
constexpr state::duration min_decision_wait = std::chrono::milliseconds{1};

fair_queue::flow_key lane_of(generation_record const& record)
{
    return {record.request.customer, record.request.kind, record.request.model};
}

} // namespace

// -- dispatch -------------------------------------------------------------------------------------

void generation_owner::enqueue(generation_record& record)
{
    waiting_.push(lane_of(record), record.id);
}

void generation_owner::remove_from_queue(generation_record& record)
{
    waiting_.remove(lane_of(record), record.id);
    record.reevaluate_at = state::never;
}

void generation_owner::dispatch_queue_heads()
{
    std::vector<state::generation_id> heads;
    waiting_.heads(redispatched_lane_count, heads);
    for (state::generation_id const& id : heads)
    {
        if (generation_record* const record = find(id))
        {
            dispatch(*record);
        }
    }
}

void generation_owner::dispatch(generation_record& record)
{
    if (core_.now >= record.request.deadline && core_.enabled(safeguard::deadline_answer))
    {
        return on_request_deadline(record);
    }
    if (core_.on_hold() && core_.enabled(safeguard::pause_recheck))
    {
        record.reevaluate_at = core_.hold_until;
        return arm_timer(record);
    }
    dispatch_attempt const attempt{record.request, record.received_at, record.starts,
                                   record.failed};
    dispatch_decision const decision = policy_.decide(attempt, core_.view(), core_.now);
    switch (decision.verdict)
    {
    case dispatch_verdict::dispatch:
        return start(record, *decision.upstream);
    case dispatch_verdict::wait:
        record.reevaluate_at = std::max(decision.reevaluate_at, core_.now + min_decision_wait);
        return arm_timer(record);
    case dispatch_verdict::refuse:
        break;
    }
    // The policy decides on this start only; an earlier one may have run, and "not run" would be
    // false.
    bool const ran_before = record.possible_runs > 0 && core_.enabled(safeguard::truthful_refusal);
    give_up(record, ran_before ? state::error_kind::may_have_run : decision.kind,
            decision.retry_after);
}

void generation_owner::start(generation_record& record, upstream_view const& upstream)
{
    if (!record.lifecycle.apply(lifecycle_event::dispatch))
    {
        return;
    }
    remove_from_queue(record);
    take_new_identity(record);
    record.stream = state::stream_handle{++streams_opened_ * core_.settings().shards + core_.index};
    record.policy_stream = record.stream;
    record.upstream = upstream.info.id;
    record.address = upstream.info.address;
    record.next_index = 0;
    record.reported_tokens = 0;
    record.collected_text.clear();
    record.gaps = {};
    record.silent_since = core_.now;
    record.started_at = core_.now;
    record.resume_attempts = 0;
    ++record.starts;
    ++record.possible_runs;
    by_stream_[record.stream] = &record;
    send_head_if_needed(record);
    policy_.started(record.stream, record.request, upstream, core_.now);
    open_stream open;
    open.stream = record.stream;
    open.upstream = record.upstream;
    open.address = record.address;
    open.generation = record.id;
    open.kind = record.request.kind;
    open.model = record.request.model;
    open.max_tokens = record.request.max_tokens;
    open.body = record.request.body;
    open.path = record.request.path;
    core_.emit(std::move(open));
    arm_timer(record);
}

// Two starts under one identity are two runs with different tokens. A caller that re-attaches by
// identity and index could receive the other run's tokens, so each start that may have run has an
// identity of its own.
void generation_owner::take_new_identity(generation_record& record)
{
    if (record.possible_runs == 0 || !core_.enabled(safeguard::identity_per_start))
    {
        return;
    }
    auto node = records_.extract(record.id);
    record.former.push_back(record.id);
    record.id = mint();
    for (state::generation_id const& former : record.former)
    {
        current_identities_[former] = record.id;
    }
    node.key() = record.id;
    records_.insert(std::move(node));
}

bool generation_owner::may_restart(generation_record const& record) const
{
    bool const unsent = !record.token_delivered || !core_.enabled(safeguard::restart_unsent);
    bool const repeatable =
        record.request.repeatable || !core_.enabled(safeguard::restart_repeatable);
    return !record.read_only && record.caller && unsent && repeatable && record.starts < max_starts;
}

void generation_owner::restart(generation_record& record)
{
    if (!record.lifecycle.apply(lifecycle_event::restart))
    {
        return;
    }
    count(core_.counts.restarted);
    abort_stream(record);
    policy_.ended(std::exchange(record.policy_stream, {}), record.reported_tokens,
                  stream_outcome::failed, core_.now);
    if (record.resumable())
    {
        core_.emit(cancel_generation{record.upstream, record.address, record.id});
    }
    record.failed.push_back(record.upstream);
    record.resume_at = state::never;
    record.next_index = 0;
    record.collected_text.clear();
    enqueue(record);
    dispatch(record);
}

// Only the first exchange of a start can prove that it did not run: a resumption that fails to
// connect proves nothing about the start before it.
void generation_owner::retry_not_run(generation_record& record)
{
    static_cast<void>(record.lifecycle.apply(lifecycle_event::not_run));
    --record.possible_runs;
    record.failed.push_back(record.upstream);
    policy_.ended(std::exchange(record.policy_stream, {}), 0, stream_outcome::failed, core_.now);
    enqueue(record);
    dispatch(record);
}

} // namespace plumdale::coordination
