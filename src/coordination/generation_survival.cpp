#include <plumdale/coordination/generation_survival.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

generation_survival::generation_survival(state::member_key source, destination_choice choose)
    : choose_{std::move(choose)}, source_{source}
{
}

// -- copies ---------------------------------------------------------------------------------------

void generation_survival::source_leaves(copy_times const& times, state::time_point now,
                                        survival_actions& actions)
{
    source_leaves_ = true;
    times_ = times;
    if (phase_ == phase::copied)
    {
        wait_for_next_copy(now);
    }
    // A backup needs no copy: the generation runs on until the source is gone, and goes on there.
    if (phase_ == phase::steady && !backup_)
    {
        excluded_.assign({source_});
        order_first(actions);
    }
}

void generation_survival::backup_leaves(state::member_key member, survival_actions& actions)
{
    if (backup_ != member)
    {
        return;
    }
    backup_ = {};
    if (source_leaves_ && phase_ == phase::steady)
    {
        excluded_.assign({source_, member});
        order_first(actions);
    }
}

void generation_survival::order_first(survival_actions& actions)
{
    due_ = state::never;
    auto const destination = choose_(source_, excluded_);
    if (!destination)
    {
        phase_ = phase::steady;
        return;
    }
    destination_ = *destination;
    phase_ = phase::first_copy;
    actions.push_back(order_copy{source_, destination_, false});
}

void generation_survival::wait_for_next_copy(state::time_point now)
{
    phase_ = phase::copied;
    due_ = std::max(now, std::min(times_.refresh_at, times_.last_at));
}

// Once only: a second refresh would find the upstream gone.
void generation_survival::order_refresh(survival_actions& actions)
{
    due_ = state::never;
    times_.refresh_at = state::never;
    phase_ = phase::refresh;
    actions.push_back(order_copy{source_, destination_, false});
}

void generation_survival::order_last(survival_actions& actions)
{
    due_ = state::never;
    phase_ = phase::last_copy;
    actions.push_back(order_copy{source_, destination_, true});
}

void generation_survival::copied(std::string handle, state::time_point now,
                                 survival_actions& actions)
{
    if (phase_ == phase::ended)
    {
        actions.push_back(release_copy{source_, std::move(handle)});
        return;
    }
    bool const expected =
        phase_ == phase::first_copy || phase_ == phase::refresh || phase_ == phase::last_copy;
    if (!expected)
    {
        return;
    }
    unreachable_retry_ = copy_retry;
    handle_ = std::move(handle);
    holder_ = source_;
    resume_at_ = destination_;
    bool const is_last = phase_ == phase::last_copy;
    if (source_ended_)
    {
        resume(actions);
    }
    else if (is_last)
    {
        // The stream still carries what was generated before the stop.
        phase_ = phase::stopped;
        due_ = now + last_copy_wait;
    }
    else
    {
        wait_for_next_copy(now);
    }
}

void generation_survival::copy_refused(copy_refusal why, std::string handle, state::time_point now,
                                       survival_actions& actions)
{
    if (phase_ == phase::refresh)
    {
        return wait_for_next_copy(now);
    }
    if (phase_ != phase::first_copy && phase_ != phase::last_copy)
    {
        return;
    }
    if (phase_ == phase::last_copy && !handle.empty())
    {
        // Stopped without a whole copy: its memory is still at the source.
        handle_ = std::move(handle);
        holder_ = source_;
        resume_at_ = source_;
        phase_ = phase::stopped;
        due_ = now + last_copy_wait;
        if (source_ended_)
        {
            resume(actions);
        }
        return;
    }
    if (source_ended_)
    {
        handle_.empty() ? resume_from_backup(actions) : resume(actions);
        return;
    }
    if (phase_ == phase::last_copy)
    {
        phase_ = phase::copied;
        due_ = now + copy_retry;
        return;
    }
    if (why == copy_refusal::no_room)
    {
        excluded_.push_back(destination_);
        if (excluded_.size() > destination_limit)
        {
            phase_ = phase::steady;
            return;
        }
    }
    due_ = now + copy_retry;
    if (why == copy_refusal::unreachable)
    {
        // An upstream that was drained closes its port and may run on for ten seconds. Each order
        // tells all peers of memory at a destination, and takes it back: one draft would do so
        // hundreds of times.
        due_ = now + unreachable_retry_;
        unreachable_retry_ = std::min(longest_copy_retry, 2 * unreachable_retry_);
    }
}

// -- resumption -----------------------------------------------------------------------------------

void generation_survival::source_ended(state::time_point now, survival_actions& actions)
{
    source_ended_ = true;
    switch (phase_)
    {
    case phase::first_copy:
        if (due_ == state::never)
        {
            due_ = now + last_copy_wait;
            return;
        }
        resume_from_backup(actions);
        return;
    case phase::last_copy:
        due_ = now + last_copy_wait;
        return;
    case phase::copied:
    case phase::refresh:
    case phase::stopped:
        resume(actions);
        return;
    case phase::resuming:
    case phase::steady:
        resume_from_backup(actions);
        return;
    case phase::ended:
        return;
    }
}

void generation_survival::resume(survival_actions& actions)
{
    if (handle_.empty() || ++resumes_ > resume_limit)
    {
        abandon(actions);
        return;
    }
    phase_ = phase::resuming;
    due_ = state::never;
    source_ = resume_at_;
    source_ended_ = false;
    actions.push_back(resume_generation{resume_at_, holder_, handle_});
}

void generation_survival::resume_from_backup(survival_actions& actions)
{
    if (!backup_ || ++resumes_ > resume_limit)
    {
        abandon(actions);
        return;
    }
    phase_ = phase::resuming;
    due_ = state::never;
    handle_.clear();
    holder_ = backup_;
    resume_at_ = backup_;
    source_ = backup_;
    source_ended_ = false;
    actions.push_back(resume_generation{resume_at_, holder_, {}});
}

void generation_survival::resumed(state::time_point /*now*/) noexcept
{
    phase_ = phase::steady;
    due_ = state::never;
    handle_.clear();
    destination_ = {};
    // The backup was of the run before; a resumption asks for one of its own.
    backup_ = {};
    source_leaves_ = false;
    resumes_ = 0;
}

void generation_survival::resume_refused(state::time_point now, survival_actions& actions)
{
    if (phase_ != phase::resuming)
    {
        return;
    }
    if (resumes_ >= resume_limit)
    {
        abandon(actions);
        return;
    }
    // The copy may be gone; a source that stopped keeps the memory.
    if (!handle_.empty())
    {
        resume_at_ = resume_at_ == holder_ ? destination_ : holder_;
    }
    due_ = now + resume_retry;
}

void generation_survival::abandon(survival_actions& actions)
{
    phase_ = phase::ended;
    due_ = state::never;
    actions.push_back(abandon_generation{});
}

void generation_survival::finished(survival_actions& actions)
{
    bool const has_copy = !handle_.empty() && (phase_ == phase::copied || phase_ == phase::refresh);
    if (has_copy)
    {
        actions.push_back(release_copy{holder_, handle_});
    }
    phase_ = phase::ended;
    due_ = state::never;
}

void generation_survival::advance(state::time_point now, survival_actions& actions)
{
    if (now < due_)
    {
        return;
    }
    due_ = state::never;
    switch (phase_)
    {
    case phase::first_copy:
        source_ended_ ? resume_from_backup(actions) : order_first(actions);
        return;
    case phase::copied:
        now < times_.last_at ? order_refresh(actions) : order_last(actions);
        return;
    case phase::refresh:
    case phase::last_copy:
        // The source is gone before it answered.
        handle_.empty() ? resume_from_backup(actions) : resume(actions);
        return;
    case phase::stopped:
        resume(actions);
        return;
    case phase::resuming:
        handle_.empty() ? resume_from_backup(actions) : resume(actions);
        return;
    case phase::steady:
    case phase::ended:
        return;
    }
}

} // namespace plumdale::coordination
