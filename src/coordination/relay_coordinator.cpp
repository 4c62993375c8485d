#include "relay_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

/// \brief Time after a deadline for which the owner's answer is awaited: the owner knows more of
/// the run.
constexpr state::duration deadline_grace = std::chrono::milliseconds{200};

} // namespace

relay_coordinator::relay_coordinator(shard_core& core, generation_owner& owner)
    : core_{core}, owner_{owner}
{
}

void relay_coordinator::start(state::caller_handle caller, state::request const& request,
                              state::member const& node)
{
    relay& pending = relays_[caller];
    pending.caller = caller;
    pending.request = request;
    pending.node = node.id;
    pending.address = node.streams;
    pending.generation = request.generation;
    pending.next_index = request.op == state::operation::attach ? request.next_index : 0;
    pending.silent_since = core_.now;
    if (core_.enabled(safeguard::drain_waits))
    {
        core_.add_in_flight();
    }
    core_.emit(relay_request{caller, node.id, node.streams, request});
    arm_timer(pending);
}

// -- callers --------------------------------------------------------------------------------------

bool relay_coordinator::has(state::caller_handle caller) const noexcept
{
    return relays_.contains(caller);
}

void relay_coordinator::on_caller_disconnected(state::caller_handle caller)
{
    core_.emit(close_relay{caller});
    erase(caller);
}

void relay_coordinator::on_caller_blocked(state::caller_handle caller)
{
    relay& pending = relays_.at(caller);
    pending.blocked_since = core_.now;
    arm_timer(pending);
}

void relay_coordinator::on_caller_ready(state::caller_handle caller)
{
    relays_.at(caller).blocked_since = state::never;
}

// -- the owner's answers --------------------------------------------------------------------------

/// Returns whether `id` is the generation that this relay reads; counts a mismatch.
bool relay_coordinator::expects(relay& pending, state::generation_id const& id)
{
    if (id == pending.generation || !core_.enabled(safeguard::token_identity))
    {
        return true;
    }
    count(core_.counts.wrong_identity);
    return false;
}

void relay_coordinator::on(relay_head const& event)
{
    relay* const pending = find(event.caller);
    if (pending == nullptr)
    {
        return;
    }
    // The owner may restart repeatable work under another identity while no token has been sent.
    bool const changed = event.generation != pending->generation;
    if (changed && (pending->next_index != 0 || !core_.context.signer.verify(event.generation)))
    {
        return count(core_.counts.wrong_identity);
    }
    pending->generation = event.generation;
    pending->upstream = event.upstream;
    pending->silent_since = core_.now;
    if (pending->request.streamed && !std::exchange(pending->head_sent, true))
    {
        core_.emit(send_head{event.caller, event.generation, event.upstream});
    }
}

void relay_coordinator::on(relay_token const& event)
{
    relay* const pending = find(event.caller);
    if (pending == nullptr || !expects(*pending, event.generation))
    {
        return;
    }
    if (event.index != pending->next_index && core_.enabled(safeguard::token_index))
    {
        bool const is_duplicate = event.index < pending->next_index;
        count(is_duplicate ? core_.counts.duplicate : core_.counts.skipped);
        return is_duplicate ? void() : retry_owner(*pending);
    }
    pending->next_index = event.index + 1;
    pending->upstream = event.upstream;
    pending->owner_retried = false;
    pending->silent_since = core_.now;
    pending->gaps.token(core_.now);
    core_.emit(send_token{event.caller, event.generation, event.upstream, event.index, event.text});
}

void relay_coordinator::on(relay_finished const& event)
{
    relay* const pending = find(event.caller);
    if (pending == nullptr)
    {
        return;
    }
    bool const reads_generation = pending->request.op == state::operation::run ||
                                  pending->request.op == state::operation::attach;
    if (reads_generation && !expects(*pending, event.generation))
    {
        return;
    }
    if (reads_generation && pending->request.streamed && event.count != pending->next_index)
    {
        return retry_owner(*pending);
    }
    core_.emit(
        send_finished{event.caller, event.generation, event.count, event.text, event.status});
    erase(event.caller);
}

void relay_coordinator::on(relay_refused const& event)
{
    if (find(event.caller) != nullptr)
    {
        core_.refuse(event.caller, event.kind, event.retry_after, event.generation,
                     event.next_index);
        erase(event.caller);
    }
}

void relay_coordinator::on(relay_failed const& event)
{
    if (relay* const pending = find(event.caller))
    {
        recover(*pending, event.sent || pending->owner_retried);
    }
}

// -- recovery -------------------------------------------------------------------------------------

// The connection may be silent although the owner is healthy: the owner is asked once on a new
// connection before the engine is read directly.
void relay_coordinator::retry_owner(relay& pending)
{
    core_.emit(close_relay{pending.caller});
    bool const readable = pending.generation && pending.request.kind != state::work_kind::call;
    if (!readable || std::exchange(pending.owner_retried, true))
    {
        return recover(pending, true);
    }
    count(core_.counts.resumed);
    state::request retry = pending.request;
    retry.op = state::operation::attach;
    retry.generation = pending.generation;
    retry.upstream_hint = pending.upstream;
    retry.next_index = pending.next_index;
    pending.silent_since = core_.now;
    core_.emit(relay_request{pending.caller, pending.node, pending.address, std::move(retry)});
    arm_timer(pending);
}

// A generation that the owner dispatched can be read from its engine by identity and index, so the
// answer survives its owner. A request without an identity, or a plain call, can't be recovered.
void relay_coordinator::recover(relay& pending, bool sent)
{
    state::operation const op = pending.request.op;
    if (op == state::operation::cancel)
    {
        return refuse(pending, state::error_kind::connection_failed);
    }
    bool const known_not_run = !sent && op == state::operation::run;
    if (known_not_run)
    {
        return refuse(pending, state::error_kind::owner_unreachable);
    }
    bool const started = pending.upstream || op == state::operation::attach;
    if (!started || pending.request.kind == state::work_kind::call)
    {
        return refuse(pending, core_.enabled(safeguard::truthful_refusal)
                                   ? state::error_kind::may_have_run
                                   : state::error_kind::owner_unreachable);
    }
    state::request const request = pending.request;
    attached_caller const caller{pending.caller, false, request.streamed, pending.next_index,
                                 request.deadline};
    state::upstream_id const upstream = pending.upstream ? pending.upstream : request.upstream_hint;
    read_hint const hint{pending.generation, upstream};
    bool const head_sent = pending.head_sent;
    erase(pending.caller);
    owner_.read(caller, hint, request, head_sent);
}

void relay_coordinator::refuse(relay& pending, state::error_kind kind)
{
    bool const partly_sent = pending.request.streamed && pending.next_index > 0;
    bool const possibly_ran = kind == state::error_kind::may_have_run;
    core_.refuse(pending.caller,
                 partly_sent && possibly_ran ? state::error_kind::interrupted : kind,
                 core_.view().preset.retry_after, pending.generation, pending.next_index);
    erase(pending.caller);
}

// -- time -----------------------------------------------------------------------------------------

state::time_point relay_coordinator::due_at(relay const& pending) const
{
    node_settings const& settings = core_.settings();
    if (pending.blocked_since != state::never)
    {
        return pending.blocked_since + settings.slow_reader_time;
    }
    state::duration const longest = settings.token_timeout;
    state::duration const timeout =
        pending.gaps.timeout({settings.first_token_timeout, longest, 2 * longest});
    state::time_point due = state::never;
    if (core_.enabled(safeguard::silence_resume))
    {
        due = pending.silent_since + timeout;
    }
    if (pending.request.deadline != state::never)
    {
        due = std::min(due, pending.request.deadline + deadline_grace);
    }
    return due;
}

void relay_coordinator::arm_timer(relay& pending)
{
    state::time_point const due = std::max(due_at(pending), core_.now);
    if (due < pending.timer_at)
    {
        pending.timer_at = due;
        core_.deadlines.push({due, {}, pending.caller});
    }
}

void relay_coordinator::on_deadline(state::caller_handle caller)
{
    relay* pending = find(caller);
    if (pending == nullptr)
    {
        return;
    }
    pending->timer_at = state::never;
    if (core_.now < due_at(*pending))
    {
        return arm_timer(*pending);
    }
    bool const past_deadline = pending->request.deadline != state::never &&
                               core_.now >= pending->request.deadline + deadline_grace;
    if (past_deadline || pending->blocked_since != state::never)
    {
        core_.emit(close_relay{caller});
        return refuse(*pending, state::error_kind::may_have_run);
    }
    retry_owner(*pending);
}

void relay_coordinator::reset_silence_timers()
{
    for (auto& [caller, pending] : relays_)
    {
        pending.gaps.restart();
        pending.silent_since = core_.now;
    }
}

relay_coordinator::relay* relay_coordinator::find(state::caller_handle caller)
{
    auto const found = relays_.find(caller);
    return found == relays_.end() ? nullptr : &found->second;
}

void relay_coordinator::erase(state::caller_handle caller)
{
    if (relays_.erase(caller) != 0 && core_.enabled(safeguard::drain_waits))
    {
        core_.remove_in_flight();
    }
}

} // namespace plumdale::coordination
