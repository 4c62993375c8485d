#include <plumdale/coordination/generation_failover.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

generation_failover::generation_failover(state::member_key source, destination_selector choose)
    : select_destination_{std::move(choose)}, source_{source}
{
}

// -- copies ---------------------------------------------------------------------------------------

void generation_failover::source_leaves(copy_schedule const& times, state::time_point now,
                                        failover_actions& actions)
{
    source_leaves_ = true;
    times_ = times;
    if (phase_ == phase::copied)
    {
        wait_for_next_copy(now);
    }
    bool const awaits_turn = phase_ == phase::first_copy && next_deadline_ != state::never;
    if (awaits_turn && times_.first)
    {
        next_deadline_ = std::min(next_deadline_, times_.first->from);
    }
    // With a backup no copy is needed: the generation runs until the source is gone, then resumes
    // at the backup.
    if (phase_ == phase::steady && !backup_)
    {
        excluded_.assign({source_});
        begin_first(now, actions);
    }
}

void generation_failover::backup_leaves(state::member_key member, state::time_point now,
                                        failover_actions& actions)
{
    if (backup_ != member)
    {
        return;
    }
    backup_ = {};
    if (source_leaves_ && phase_ == phase::steady)
    {
        excluded_.assign({source_, member});
        order_first(now, actions);
    }
}

void generation_failover::begin_first(state::time_point now, failover_actions& actions)
{
    if (!times_.first || times_.first->from <= now)
    {
        return order_first(now, actions);
    }
    phase_ = phase::first_copy;
    next_deadline_ = times_.first->from;
}

void generation_failover::order_first(state::time_point now, failover_actions& actions)
{
    next_deadline_ = state::never;
    auto const destination = select_destination_(source_, excluded_);
    if (!destination)
    {
        return wait_for_destination(now);
    }
    destination_ = *destination;
    ordered_destination_ = destination_;
    phase_ = phase::first_copy;
    actions.push_back(order_copy{source_, destination_, false});
}

void generation_failover::wait_for_destination(state::time_point now)
{
    state::time_point const next = now + destination_retry_delay;
    bool const can_wait = times_.first && next <= times_.first->until;
    phase_ = can_wait ? phase::first_copy : phase::steady;
    next_deadline_ = can_wait ? next : state::never;
}

// A destination that refuses has less room than is known here, so further ones are likely to refuse
// as well until news of the orders that took the room arrive: the delay doubles.
void generation_failover::exclude_destination(state::time_point now)
{
    excluded_.push_back(destination_);
    std::size_t const refused = excluded_.size() - 1;
    if (times_.first)
    {
        wait_until_last_chance(now, (std::int64_t{1} << std::min(refused, max_destinations)) *
                                        copy_retry_delay);
        if (refused > max_destinations)
        {
            // The one that refused first may have room again.
            excluded_.erase(excluded_.begin() + 1);
        }
        return;
    }
    bool const is_last = excluded_.size() > max_destinations;
    phase_ = is_last ? phase::steady : phase::first_copy;
    next_deadline_ = is_last ? state::never : now + copy_retry_delay;
}

void generation_failover::wait_until_last_chance(state::time_point now, state::duration delay)
{
    bool const is_over = now >= times_.first->until;
    phase_ = is_over ? phase::steady : phase::first_copy;
    next_deadline_ = is_over ? state::never : std::min(now + delay, times_.first->until);
}

void generation_failover::wait_for_next_copy(state::time_point now)
{
    phase_ = phase::copied;
    next_deadline_ = std::max(now, std::min(times_.refresh_at, times_.last_at));
}

// A refresh is ordered only once, since a second one would find the upstream gone.
void generation_failover::order_refresh(failover_actions& actions)
{
    next_deadline_ = state::never;
    times_.refresh_at = state::never;
    phase_ = phase::refresh;
    ordered_destination_ = destination_;
    actions.push_back(order_copy{source_, destination_, false});
}

void generation_failover::order_last(failover_actions& actions)
{
    next_deadline_ = state::never;
    phase_ = phase::last_copy;
    ordered_destination_ = destination_;
    actions.push_back(order_copy{source_, destination_, true});
}

bool generation_failover::expects_answer() const noexcept
{
    return phase_ == phase::first_copy || phase_ == phase::refresh || phase_ == phase::last_copy;
}

bool generation_failover::is_order_pending() const noexcept
{
    bool const awaits_turn = phase_ == phase::first_copy && next_deadline_ != state::never;
    return expects_answer() && !awaits_turn;
}

void generation_failover::copied(std::string handle, state::time_point now,
                                 failover_actions& actions)
{
    if (phase_ == phase::ended)
    {
        actions.push_back(release_copy{source_, std::move(handle)});
        return;
    }
    if (!expects_answer())
    {
        return;
    }
    unreachable_retry_delay_ = copy_retry_delay;
    handle_ = std::move(handle);
    holder_ = source_;
    destination_ = ordered_destination_;
    resume_destination_ = destination_;
    bool const is_last = phase_ == phase::last_copy;
    if (is_last)
    {
        source_over_ = run_ended::by(send_proof::stopped);
    }
    if (source_ended_)
    {
        return resume(actions);
    }
    if (is_last)
    {
        // The stream still carries what was generated before the stop.
        phase_ = phase::stopped;
        next_deadline_ = now + stopped_stream_timeout;
        return;
    }
    wait_for_next_copy(now);
}

void generation_failover::copy_refused(copy_refusal reason, std::string handle,
                                       state::time_point now, failover_actions& actions)
{
    if (phase_ == phase::refresh && !source_ended_)
    {
        return wait_for_next_copy(now);
    }
    if (!expects_answer())
    {
        return;
    }
    if (phase_ == phase::last_copy && !handle.empty())
    {
        // It was stopped without a complete copy, so its memory is still at the source.
        handle_ = std::move(handle);
        holder_ = source_;
        resume_destination_ = source_;
        source_over_ = run_ended::by(send_proof::stopped);
        phase_ = phase::stopped;
        next_deadline_ = now + stopped_stream_timeout;
        if (source_ended_)
        {
            resume(actions);
        }
        return;
    }
    if (source_ended_)
    {
        return stop_refused(reason, now, actions);
    }
    if (phase_ == phase::last_copy)
    {
        phase_ = phase::copied;
        next_deadline_ = now + copy_retry_delay;
        return;
    }
    if (reason == copy_refusal::no_capacity)
    {
        return exclude_destination(now);
    }
    next_deadline_ = now + copy_retry_delay;
    bool const may_have_ended = reason == copy_refusal::unknown_generation && times_.first;
    bool const is_unreachable = reason == copy_refusal::unreachable ||
                                reason == copy_refusal::process_gone ||
                                reason == copy_refusal::rejected;
    if (is_unreachable || may_have_ended)
    {
        // A drained upstream closes its port and may run for another ten seconds. Each order
        // reports memory at a destination to all peers and withdraws it; without a growing delay
        // one draft would cause hundreds of these messages.
        next_deadline_ = now + unreachable_retry_delay_;
        unreachable_retry_delay_ = std::min(max_copy_retry_delay, 2 * unreachable_retry_delay_);
    }
}

// -- resumption -----------------------------------------------------------------------------------

// An upstream may work on after its channel ended, so the end of the stream says nothing of the
// run.
void generation_failover::source_ended(state::time_point /*now*/, failover_actions& actions)
{
    if (phase_ == phase::ended)
    {
        return;
    }
    source_ended_ = true;
    if (phase_ == phase::stopped)
    {
        return resume(actions);
    }
    if (phase_ == phase::resuming)
    {
        source_over_.reset();
    }
    if (is_order_pending())
    {
        // Its answer decides; the order has a time limit of its own.
        return;
    }
    stop_source(actions);
}

void generation_failover::source_gone(run_ended proof, state::time_point /*now*/,
                                      failover_actions& actions)
{
    if (phase_ == phase::ended)
    {
        return;
    }
    source_ended_ = true;
    source_over_ = proof;
    resume_without_source(actions);
}

// Where the memory is copied already, or kept as it grows, the order copies only what is new.
std::optional<state::member_key> generation_failover::choose_stop_destination()
{
    bool const has_copy = !handle_.empty() && destination_ && destination_ != source_;
    if (has_copy)
    {
        return destination_;
    }
    if (backup_ && backup_ != source_)
    {
        return backup_;
    }
    excluded_.assign({source_});
    return select_destination_(source_, excluded_);
}

void generation_failover::stop_source(failover_actions& actions)
{
    auto const destination = choose_stop_destination();
    if (!destination || ++stop_attempts_ > max_stop_attempts)
    {
        return abandon(actions);
    }
    next_deadline_ = state::never;
    phase_ = phase::last_copy;
    ordered_destination_ = *destination;
    actions.push_back(order_copy{source_, *destination, true});
}

void generation_failover::stop_refused(copy_refusal reason, state::time_point now,
                                       failover_actions& actions)
{
    if (reason == copy_refusal::process_gone)
    {
        source_over_ = run_ended::by(send_proof::process_gone);
        return resume_without_source(actions);
    }
    // Before its first event the run may wait in the upstream's queue, which the order doesn't see.
    if (reason == copy_refusal::unknown_generation && source_began_)
    {
        source_over_ = run_ended::by(send_proof::unknown_there);
        return handle_.empty() ? resume_from_backup(actions) : resume(actions);
    }
    phase_ = phase::stop_due;
    next_deadline_ = now + unreachable_retry_delay_;
    unreachable_retry_delay_ = reason == copy_refusal::unreachable
                                   ? std::min(max_copy_retry_delay, 2 * unreachable_retry_delay_)
                                   : copy_retry_delay;
}

void generation_failover::resume_without_source(failover_actions& actions)
{
    // The holder of a copy keeps its own memory, too.
    state::member_key const other = resume_destination_ == holder_ ? destination_ : holder_;
    if (resume_destination_ == source_)
    {
        resume_destination_ = other;
    }
    bool const has_copy = !handle_.empty() && resume_destination_ != source_;
    has_copy ? resume(actions) : resume_from_backup(actions);
}

void generation_failover::resume(failover_actions& actions)
{
    if (!source_over_)
    {
        return stop_source(actions);
    }
    if (handle_.empty() || ++resume_attempts_ > max_resume_attempts)
    {
        return abandon(actions);
    }
    begin_resumption(resume_destination_, actions);
}

void generation_failover::resume_from_backup(failover_actions& actions)
{
    if (!source_over_)
    {
        return stop_source(actions);
    }
    bool const is_lost = !backup_ || (backup_ == source_ && phase_ != phase::resuming);
    if (is_lost || ++resume_attempts_ > max_resume_attempts)
    {
        return abandon(actions);
    }
    handle_.clear();
    holder_ = backup_;
    resume_destination_ = backup_;
    begin_resumption(backup_, actions);
}

void generation_failover::begin_resumption(state::member_key at, failover_actions& actions)
{
    phase_ = phase::resuming;
    next_deadline_ = state::never;
    source_ = at;
    source_ended_ = false;
    source_began_ = false;
    actions.push_back(resume_generation{at, holder_, handle_, *source_over_});
}

void generation_failover::resumed(state::time_point /*now*/) noexcept
{
    phase_ = phase::steady;
    next_deadline_ = state::never;
    handle_.clear();
    destination_ = {};
    // The backup belonged to the previous run; a resumed run requests a new one.
    backup_ = {};
    source_leaves_ = false;
    source_began_ = true;
    source_over_.reset();
    stop_attempts_ = 0;
    resume_attempts_ = 0;
}

void generation_failover::resume_postponed(state::time_point now) noexcept
{
    if (phase_ == phase::resuming)
    {
        --resume_attempts_;
        next_deadline_ = now + postponed_resume_delay;
    }
}

void generation_failover::resume_refused(state::time_point now, failover_actions& actions)
{
    if (phase_ != phase::resuming)
    {
        return;
    }
    if (resume_attempts_ >= max_resume_attempts)
    {
        abandon(actions);
        return;
    }
    // The copy may be gone, but a source that stopped the generation keeps its memory.
    if (!handle_.empty())
    {
        resume_destination_ = resume_destination_ == holder_ ? destination_ : holder_;
    }
    next_deadline_ = now + resume_retry_delay;
}

void generation_failover::abandon(failover_actions& actions)
{
    phase_ = phase::ended;
    next_deadline_ = state::never;
    actions.push_back(abandon_generation{});
}

void generation_failover::finished(failover_actions& actions)
{
    bool const has_copy = !handle_.empty() && (phase_ == phase::copied || phase_ == phase::refresh);
    if (has_copy)
    {
        actions.push_back(release_copy{holder_, handle_});
    }
    phase_ = phase::ended;
    next_deadline_ = state::never;
}

void generation_failover::advance(state::time_point now, failover_actions& actions)
{
    if (now < next_deadline_)
    {
        return;
    }
    next_deadline_ = state::never;
    switch (phase_)
    {
    case phase::first_copy:
        return order_first(now, actions);
    case phase::copied:
        return now < times_.last_at ? order_refresh(actions) : order_last(actions);
    case phase::stop_due:
        return stop_source(actions);
    case phase::stopped:
        return resume(actions);
    case phase::resuming:
        return handle_.empty() ? resume_from_backup(actions) : resume(actions);
    case phase::refresh:
    case phase::last_copy:
    case phase::steady:
    case phase::ended:
        return;
    }
}

} // namespace plumdale::coordination
