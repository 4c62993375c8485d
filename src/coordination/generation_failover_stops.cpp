#include <plumdale/coordination/generation_failover.hpp>

#include <algorithm>
#include <utility>

// Stops and resumptions of a generation; generation_failover.cpp has its copies while it runs.

namespace plumdale::coordination
{

// -- stops ----------------------------------------------------------------------------------------

// An upstream may work on after its channel ended, so the end of the stream says nothing of the
// run.
void generation_failover::source_ended(state::time_point now, failover_actions& actions)
{
    if (phase_ == phase::ended || phase_ == phase::waiting)
    {
        return;
    }
    source_ended_ = true;
    if (phase_ == phase::stopped)
    {
        return resume(now, actions);
    }
    if (phase_ == phase::resuming)
    {
        // The resumption may run, so what it went on from is used.
        begin_run();
        source_ended_ = true;
        memory_.forget(source_);
    }
    // Where an order is under way, its answer decides.
    if (!is_order_pending() && stops_unanswered_ == 0)
    {
        stop_source(now, actions);
    }
}

void generation_failover::source_gone(run_ended proof, state::time_point now,
                                      failover_actions& actions)
{
    if (phase_ == phase::ended)
    {
        return;
    }
    source_ = source();
    source_ended_ = true;
    memory_.forget(source_);
    run_is_over(proof, now);
    resume(now, actions);
}

// Where the memory is copied already, or kept as it grows, the order copies only what is new.
std::optional<state::member_key> generation_failover::choose_stop_destination()
{
    // Its answer would not say which of two orders it is for.
    if (stops_unanswered_ > 0)
    {
        return ordered_destination_;
    }
    if (has_copy() && may_go_on_at(destination_))
    {
        return destination_;
    }
    if (backup_ && backup_ != source_ && may_go_on_at(backup_))
    {
        return backup_;
    }
    excluded_.assign({source_});
    if (auto const chosen = rules_.select_destination(source_, excluded_))
    {
        return chosen;
    }
    // A source that can't copy says whether it runs the generation, and keeps what it stopped.
    return rules_.any_destination(source_);
}

void generation_failover::stop_source(state::time_point now, failover_actions& actions)
{
    if (auto const destination = choose_stop_destination())
    {
        return order_stop(*destination, now, actions);
    }
    phase_ = phase::stopping;
    next_deadline_ = now + take_order_delay();
}

void generation_failover::order_stop(state::member_key destination, state::time_point now,
                                     failover_actions& actions)
{
    phase_ = phase::stopping;
    next_deadline_ = now + stop_answer_delay;
    ordered_destination_ = destination;
    ++stops_unanswered_;
    actions.push_back(order_copy{source_, destination, true});
}

void generation_failover::run_is_over(run_ended proof, state::time_point now)
{
    source_over_ = proof;
    memory_.run_ended(now);
}

void generation_failover::stop_answered(std::string handle, state::time_point now,
                                        failover_actions& actions)
{
    stops_unanswered_ -= std::min(stops_unanswered_, 1U);
    handle_ = std::move(handle);
    destination_ = ordered_destination_;
    run_is_over(*run_ended::by(send_proof::stopped), now);
    // A source that stopped keeps the memory, too.
    memory_.add({source_, source_, handle_}, now);
    memory_.add({destination_, source_, handle_}, now);
    if (phase_ == phase::stopping)
    {
        run_stopped(now, actions);
    }
}

void generation_failover::run_stopped(state::time_point now, failover_actions& actions)
{
    if (source_ended_)
    {
        return resume(now, actions);
    }
    // The stream still carries what was generated before the stop.
    phase_ = phase::stopped;
    next_deadline_ = now + stopped_stream_timeout;
}

void generation_failover::stop_refused(copy_refusal reason, std::string handle,
                                       state::time_point now, failover_actions& actions)
{
    stops_unanswered_ -= std::min(stops_unanswered_, 1U);
    if (!handle.empty())
    {
        // It was stopped without a complete copy, so the newest of its memory is at the source.
        handle_ = std::move(handle);
        run_is_over(*run_ended::by(send_proof::stopped), now);
        memory_.add({source_, source_, handle_}, now);
    }
    if (phase_ != phase::stopping)
    {
        return;
    }
    if (source_over_)
    {
        return run_stopped(now, actions);
    }
    if (!source_ended_)
    {
        next_deadline_ = now + take_order_delay();
        return;
    }
    source_refuses_after_its_end(reason, now, actions);
}

void generation_failover::source_refuses_after_its_end(copy_refusal reason, state::time_point now,
                                                       failover_actions& actions)
{
    if (reason == copy_refusal::process_gone)
    {
        memory_.forget(source_);
        run_is_over(*run_ended::by(send_proof::process_gone), now);
        return resume(now, actions);
    }
    // Before its first event the run may wait in the upstream's queue, which the order doesn't see.
    if (reason == copy_refusal::unknown_generation && source_began_)
    {
        run_is_over(*run_ended::by(send_proof::unknown_there), now);
        return resume(now, actions);
    }
    phase_ = phase::stopping;
    next_deadline_ = now + take_order_delay();
}

// -- resumption -----------------------------------------------------------------------------------

void generation_failover::resume(state::time_point now, failover_actions& actions)
{
    if (!source_over_)
    {
        return stop_source(now, actions);
    }
    if (memory_.has_expired(now))
    {
        return abandon(abandon_reason::expired, actions);
    }
    if (memory_place const* const place = memory_.next(rules_.may_resume_at))
    {
        return begin_resumption(*place, actions);
    }
    // Upstreams that back off, or bear no more refusals for now, take it later; and an order that
    // was carried out, and is answered late, names what it copied.
    bool const is_held_on = !memory_.is_held_only_at(rules_.has_left);
    bool const may_change = is_held_on || stops_unanswered_ > 0;
    if (may_change)
    {
        return wait_for_resumption(now, postponed_resume_delay);
    }
    abandon(memory_.is_empty() ? abandon_reason::nothing_held : abandon_reason::held_by_leaving,
            actions);
}

void generation_failover::begin_resumption(memory_place const& place, failover_actions& actions)
{
    phase_ = phase::resuming;
    next_deadline_ = state::never;
    asked_ = place.at;
    actions.push_back(resume_generation{place.at, place.holder, place.handle, *source_over_});
}

// Orders to stop were for the run before, and their answers with it.
void generation_failover::begin_run() noexcept
{
    source_ = asked_;
    source_ended_ = false;
    source_began_ = false;
    source_over_.reset();
    stops_unanswered_ = 0;
}

void generation_failover::wait_for_resumption(state::time_point now, state::duration delay) noexcept
{
    phase_ = phase::waiting;
    next_deadline_ = now + delay;
}

void generation_failover::resumed(state::time_point /*now*/) noexcept
{
    begin_run();
    source_began_ = true;
    phase_ = phase::steady;
    next_deadline_ = state::never;
    handle_.clear();
    destination_ = {};
    // The backup belonged to the previous run; a resumed run requests a new one.
    backup_ = {};
    memory_.clear();
    source_leaves_ = false;
    order_delay_ = copy_retry_delay;
    resume_delay_ = min_resume_delay;
}

void generation_failover::resume_postponed(state::time_point now) noexcept
{
    if (phase_ == phase::resuming)
    {
        wait_for_resumption(now, postponed_resume_delay);
    }
}

void generation_failover::resume_refused(state::time_point now, failover_actions& /*actions*/)
{
    if (phase_ != phase::resuming)
    {
        return;
    }
    memory_.pass_turn();
    state::duration const delay =
        memory_.is_round_over()
            ? std::exchange(
                  resume_delay_,
                  std::min<state::duration>(max_resume_delay, resume_delay_growth * resume_delay_))
            : resume_retry_delay;
    wait_for_resumption(now, delay);
}

void generation_failover::resume_unsent(state::time_point now, failover_actions& /*actions*/)
{
    if (phase_ != phase::resuming)
    {
        return;
    }
    memory_.pass_turn();
    wait_for_resumption(now, memory_.is_round_over() ? postponed_resume_delay : resume_retry_delay);
}

void generation_failover::abandon(abandon_reason reason, failover_actions& actions)
{
    phase_ = phase::ended;
    next_deadline_ = state::never;
    actions.push_back(abandon_generation{reason});
}

} // namespace plumdale::coordination
