#include <plumdale/coordination/generation_failover.hpp>

#include <algorithm>
#include <utility>

// Copies of a generation while it runs; generation_failover_stops.cpp has its stops and
// resumptions.

namespace plumdale::coordination
{

generation_failover::generation_failover(state::member_key source, move_rules rules)
    : rules_{std::move(rules)}, memory_{rules_.memory_lifetime}, source_{source}
{
}

// -- copies ---------------------------------------------------------------------------------------

void generation_failover::set_backup(state::member_key member)
{
    backup_ = member;
    memory_.add_backup(member);
}

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

void generation_failover::destination_leaves(state::member_key member, state::time_point now,
                                             failover_actions& actions)
{
    if (phase_ == phase::copied && destination_ == member)
    {
        excluded_.assign({source_});
        replace_destination(now, actions);
    }
}

void generation_failover::replace_destination(state::time_point now, failover_actions& actions)
{
    exclude(destination_);
    auto const destination = rules_.select_destination(source_, excluded_);
    if (!destination)
    {
        // Those that refused may have room by then.
        excluded_.assign({source_});
        next_deadline_ = now + secure_retry_delay;
        return;
    }
    next_deadline_ = state::never;
    phase_ = phase::refresh;
    ordered_destination_ = *destination;
    actions.push_back(order_copy{source_, *destination, false});
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
    auto const destination = rules_.select_destination(source_, excluded_);
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

void generation_failover::order_next_copy(state::time_point now, failover_actions& actions)
{
    if (!may_go_on_at(destination_))
    {
        return replace_destination(now, actions);
    }
    now < times_.last_at ? order_refresh(actions) : order_last(now, actions);
}

void generation_failover::order_last(state::time_point now, failover_actions& actions)
{
    bool const is_urgent = now >= times_.last_at + urgent_after;
    if (rules_.reserve_resumption(is_urgent))
    {
        return order_stop(destination_, now, actions);
    }
    bool const is_old = now - copied_at_ >= rules_.memory_lifetime / 2;
    if (is_old)
    {
        return order_refresh(actions);
    }
    next_deadline_ = now + secure_retry_delay;
}

bool generation_failover::is_order_pending() const noexcept
{
    bool const awaits_turn = phase_ == phase::first_copy && next_deadline_ != state::never;
    return (phase_ == phase::first_copy || phase_ == phase::refresh) && !awaits_turn;
}

void generation_failover::exclude(state::member_key member)
{
    bool const is_new = std::find(excluded_.begin(), excluded_.end(), member) == excluded_.end();
    if (is_new)
    {
        excluded_.push_back(member);
    }
}

bool generation_failover::may_go_on_at(state::member_key member) const
{
    return rules_.takes_runs(member) && rules_.may_resume_at(member);
}

bool generation_failover::has_copy() const noexcept
{
    return !handle_.empty() && destination_ && destination_ != source_;
}

state::duration generation_failover::take_order_delay() noexcept
{
    return std::exchange(order_delay_, std::min(max_copy_retry_delay, 2 * order_delay_));
}

void generation_failover::copied(std::string handle, state::time_point now,
                                 failover_actions& actions)
{
    switch (phase_)
    {
    case phase::ended:
        actions.push_back(release_copy{source_, std::move(handle)});
        return;
    case phase::stopping:
    case phase::stopped:
    case phase::waiting:
    case phase::resuming:
        return stop_answered(std::move(handle), now, actions);
    case phase::first_copy:
    case phase::refresh:
        break;
    default:
        return;
    }
    order_delay_ = copy_retry_delay;
    excluded_.assign({source_});
    handle_ = std::move(handle);
    destination_ = ordered_destination_;
    copied_at_ = now;
    memory_.add({destination_, source_, handle_}, now);
    source_ended_ ? stop_source(now, actions) : wait_for_next_copy(now);
}

void generation_failover::copy_refused(copy_refusal reason, std::string handle,
                                       state::time_point now, failover_actions& actions)
{
    switch (phase_)
    {
    case phase::stopping:
    case phase::stopped:
    case phase::waiting:
    case phase::resuming:
        return stop_refused(reason, std::move(handle), now, actions);
    case phase::first_copy:
    case phase::refresh:
        break;
    default:
        return;
    }
    if (source_ended_)
    {
        return source_refuses_after_its_end(reason, now, actions);
    }
    if (phase_ != phase::refresh)
    {
        return first_copy_refused(reason, now);
    }
    exclude(ordered_destination_);
    wait_for_next_copy(now);
    next_deadline_ = std::max(next_deadline_, now + take_order_delay());
}

void generation_failover::first_copy_refused(copy_refusal reason, state::time_point now)
{
    if (reason == copy_refusal::no_capacity)
    {
        return exclude_destination(now);
    }
    bool const may_have_ended = reason == copy_refusal::unknown_generation && times_.first;
    bool const is_unreachable = reason == copy_refusal::unreachable ||
                                reason == copy_refusal::process_gone ||
                                reason == copy_refusal::rejected;
    // A drained upstream closes its port and may run for another ten seconds. Each order reports
    // memory at a destination to all peers and withdraws it; without a growing delay one draft
    // would cause hundreds of these messages.
    next_deadline_ =
        now + (is_unreachable || may_have_ended ? take_order_delay() : copy_retry_delay);
}

// -- ends -----------------------------------------------------------------------------------------

void generation_failover::finished(failover_actions& actions)
{
    // A resumption that was sent uses what it goes on from.
    bool const may_be_used = phase_ == phase::resuming || phase_ == phase::steady;
    if (!handle_.empty() && !may_be_used && phase_ != phase::ended)
    {
        actions.push_back(release_copy{source_, handle_});
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
        return order_next_copy(now, actions);
    case phase::stopping:
        return stop_source(now, actions);
    case phase::stopped:
    case phase::waiting:
        return resume(now, actions);
    case phase::refresh:
    case phase::steady:
    case phase::resuming:
    case phase::ended:
        return;
    }
}

} // namespace plumdale::coordination
