#include "boot_clock.hpp"
#include "milliseconds.hpp"
#include "stream_call.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <algorithm>
#include <utility>

// Ends of a stream, of its runs and of its caller's time; stream_call.cpp forwards its events, and
// stream_failover.cpp has it go on elsewhere.

namespace plumdale::transport
{
namespace
{

using namespace coordination;

constexpr unsigned success = 200;

} // namespace

// -- ends -----------------------------------------------------------------------------------------

std::optional<state::time_point> stream_call::runs_since() const
{
    bool const has_event = begun_ && !resuming_;
    return has_event ? std::optional{run_began_at_} : std::nullopt;
}

std::optional<stream_whole> stream_call::proof_of(exchange_end end) const
{
    if (end != exchange_end::complete || !streaming_)
    {
        return std::nullopt;
    }
    return framing_ == protocol::body_framing::until_close ? closed_whole_
                                                           : stream_whole::by(end_proof::framed);
}

void stream_call::exchange_ended(exchange_end end)
{
    if (end == exchange_end::invalid || end == exchange_end::lost)
    {
        core_.health.note(member_, call_result::failed, boot_now());
    }
    if (!resuming_)
    {
        return begun_ ? answer_ended(end) : forward_call::exchange_ended(end);
    }
    state::time_point const now = boot_now();
    failover_actions actions;
    if (auto const whole = proof_of(end))
    {
        return complete_stream(*whole);
    }
    send_proof const proof = record_end(end);
    core_.metrics.add(forward_count::resume_refused);
    log("resumption failed", proves_never_ran(proof) ? to_text(proof) : "it may run");
    close_exchange();
    switch (proof)
    {
    case send_proof::not_written:
        failover_->resume_unsent(now, actions);
        break;
    case send_proof::refused:
        failover_->resume_refused(now, actions);
        break;
    default:
        ++run_;
        failover_->source_ended(now, actions);
    }
    apply(actions);
}

void stream_call::answer_ended(exchange_end end)
{
    if (auto const whole = proof_of(end))
    {
        return complete_stream(*whole);
    }
    if (end == exchange_end::complete && !begun_ && has_unfounded_promise())
    {
        return retry_or_refuse("refusal without a statement that it did not run");
    }
    if (end == exchange_end::complete && !begun_ && head_.status != success)
    {
        core_.health.note(member_, call_result::failed, boot_now());
        log("answered", "failed at the upstream");
        note_outcome(call_outcome::failed);
        auto const channel = channel_;
        exchange_ = nullptr;
        finish();
        return channel->answer(head_.status, head_.reason, answer_fields(), failure_body_.text());
    }
    if (!begun_)
    {
        return refuse(state::error_kind::may_have_run, "the upstream broke off");
    }
    source_ended(end == exchange_end::invalid ? "invalid answer" : "connection broke");
}

void stream_call::complete_stream(stream_whole proof)
{
    core_.health.note(member_, call_result::good, boot_now());
    core_.metrics.add(forward_count::streams_whole);
    if (auto const ratio = shows_speed() ? pace_.finish() : std::nullopt)
    {
        core_.speeds.note_pace(member_, *ratio, boot_now());
    }
    begin_answer();
    // The upstream's framing states that the stream ends here, inside a block or not.
    unsent_ += events_.unfinished();
    channel_->send_chunk(std::exchange(unsent_, {}));
    log_timing(proof);
    note_held();
    note_outcome(is_on_time() ? call_outcome::on_time : call_outcome::late);
    failover_actions actions;
    if (failover_)
    {
        failover_->finished(actions);
    }
    apply(actions);
    auto const channel = channel_;
    exchange_ = nullptr;
    finish();
    channel->end();
}

void stream_call::note_held()
{
    if (admitted_.service->engine)
    {
        core_.waiting.note_held(state::id_from_name<state::service_key>(admitted_.service->name),
                                boot_now() - first_sent_at_);
    }
}

bool stream_call::is_on_time() const
{
    bool const has_gap_objective = admitted_.route->target_gap > state::duration::zero();
    return first_event_at_ - admitted_.call.read_at <= admitted_.route->target_latency &&
           (!has_gap_objective || longest_gap_ <= admitted_.route->target_gap);
}

// The two figures that decide whether a stream was on time.
void stream_call::log_timing(stream_whole proof)
{
    core_.log.write(
        "call", "answered", admitted_.headers.id,
        {{"upstream", member_name()},
         {"request", protocol::to_hex(admitted_.request.value)},
         {"parts", shared_parts_text()},
         {"route", admitted_.route->name},
         {"send_ended", last_end_ ? to_text(*last_end_) : std::string_view{}},
         {"framing", protocol::to_text(framing_)},
         {"stop_orders", attempts_.stop_orders},
         {"end_proof", to_text(proof.proof())},
         {"first_event_ms", whole_milliseconds(first_event_at_ - admitted_.call.read_at)},
         {"objective_ms", whole_milliseconds(admitted_.route->target_latency)},
         {"longest_gap_ms", whole_milliseconds(longest_gap_)},
         {"gap_objective_ms", whole_milliseconds(admitted_.route->target_gap)},
         {"on_time", is_on_time() ? 1 : 0},
         {"events", events_forwarded_},
         {"hinted_tokens", admitted_.demand.output_tokens},
         {"prompt_tokens", admitted_.demand.prompt_tokens},
         {"fullness_percent", static_cast<std::int64_t>(100.0 * best_.fullness)},
         {"expected_first_event_ms", whole_milliseconds(best_.time_to_first_event)},
         {"speed_percent", static_cast<std::int64_t>(100.0 * core_.speeds.factors(member_).pace)},
         {"sent_after_ms", whole_milliseconds(first_sent_at_ - admitted_.call.read_at)},
         {"age_ms", whole_milliseconds(boot_now() - admitted_.call.read_at)}});
}

// The upstream may work on though its connection is closed; the generation goes on elsewhere only
// once that upstream has stopped it.
void stream_call::source_ended(std::string_view why)
{
    log("source ended", why);
    attempts_.begin(boot_now());
    close_exchange();
    if (!progress_.is_resumable() && !ends_.is_closed_in_order())
    {
        return abort_answer(cut_cause::own_limit, unnumbered_events);
    }
    failover_actions actions;
    failover().source_ended(boot_now(), actions);
    apply(actions);
}

void stream_call::abort_answer(cut_cause cause, std::string_view why)
{
    log_cut(cause, why);
    log("broken off", why);
    note_outcome(call_outcome::failed);
    core_.metrics.add_cut(cause);
    auto const channel = channel_;
    finish();
    channel->abort_answer();
}

void stream_call::log_cut(cut_cause cause, std::string_view why)
{
    state::time_point const now = boot_now();
    core_.log.write(
        "call", "answer cut", admitted_.headers.id,
        {{"cause", to_text(cause)},
         {"why", why},
         {"upstream", member_name()},
         {"held_at", name_of(attempts_.held_at)},
         {"moving_ms", attempts_.began_at ? whole_milliseconds(now - *attempts_.began_at) : -1},
         {"stop_orders", attempts_.stop_orders},
         {"resumptions", attempts_.resumptions},
         {"resumptions_sent", attempts_.resumptions_sent},
         {"silent_ms", whole_milliseconds(now - last_progress_)},
         {"patience_ms", whole_milliseconds(silence_timeout())},
         {"left_ms", whole_milliseconds(admitted_.deadline - now)}});
}

void stream_call::on_caller_disconnected()
{
    failover_actions actions;
    if (failover_)
    {
        failover_->finished(actions);
    }
    apply(actions);
    forward_call::on_caller_disconnected();
}

// -- ends without a length or chunks --------------------------------------------------------------

// An upstream that stops a run closes its stream in the same way, and so does one whose process is
// killed after an event.
void stream_call::on_closed()
{
    if (!streaming_)
    {
        return conclude(exchange_end::complete);
    }
    bool const is_after_event = begun_ && !resuming_ && events_.is_between_blocks();
    bool const is_in_time = boot_now() < admitted_.deadline - run_time_margin;
    if (is_after_event && is_in_time)
    {
        ends_.closed_in_order(member_);
    }
    ends_.may_be_whole() ? ask_end() : conclude(exchange_end::broken);
}

void stream_call::ask_end()
{
    asked_until_ = end_asked_until(boot_now());
    ask_whether_it_lives(asked_until_,
                         [this](bool lived_on)
                         {
                             closed_whole_ = lived_on ? ends_.proof_by_answer() : std::nullopt;
                             closed_whole_ ? conclude(exchange_end::complete) : end_unproved();
                         });
}

// Silence ends no stream while its run is there, so the caller's patience counts from the close. An
// order would prove no more than the question does: one that is silent answers neither. Where the
// run is proved to be over, half of the time is left to a resumption.
state::time_point stream_call::end_asked_until(state::time_point now) const
{
    state::duration const wait = std::min(admitted_.deadline - now, silence_timeout());
    bool const may_go_on = found_no_run_ && failover_->has_memory();
    if (!may_go_on || !admitted_.service->engine)
    {
        return now + wait;
    }
    return now + std::min(wait, admitted_.service->engine->copy_lifetime) / 2;
}

void stream_call::end_unanswered()
{
    log("end unanswered", {});
    drop_end_question();
    bool const may_go_on = found_no_run_ && failover_->has_memory();
    may_go_on ? end_unproved() : on_timeout();
}

void stream_call::end_unproved()
{
    if (!std::exchange(found_no_run_, false))
    {
        return conclude(exchange_end::broken);
    }
    refuse_copy(copy_refusal::unknown_generation, {});
}

// -- time -----------------------------------------------------------------------------------------

state::duration stream_call::silence_timeout() const
{
    return std::max({min_silence_timeout,
                     state::duration{silence_timeout_objectives * admitted_.route->target_latency},
                     state::duration{silence_timeout_gaps * admitted_.route->target_gap}});
}

state::time_point stream_call::next_deadline() const
{
    // Nothing is ordered of a run whose end is asked for.
    state::time_point const copies =
        failover_ && !is_end_asked() ? failover_->next_deadline() : state::never;
    state::time_point const patience =
        awaits_next_run() ? last_progress_ + silence_timeout() : state::never;
    state::time_point const asked = is_end_asked() ? asked_until_ : state::never;
    return std::min({forward_call::next_deadline(), copies, patience, asked});
}

void stream_call::on_timer(state::time_point now)
{
    // With a run at an upstream its silence is no reason to end the answer. Without one nothing can
    // come but a resumption, and the caller has left by then.
    if (awaits_next_run() && now >= last_progress_ + silence_timeout())
    {
        return on_timeout();
    }
    if (is_end_asked() && now >= asked_until_)
    {
        return end_unanswered();
    }
    if (failover_ && !is_end_asked())
    {
        failover_actions actions;
        failover_->advance(now, actions);
        apply(actions);
    }
    if (!finished_)
    {
        forward_call::on_timer(now);
    }
}

void stream_call::on_timeout()
{
    if (!begun_)
    {
        return refuse(state::error_kind::overloaded, "time is over");
    }
    abort_answer(awaits_next_run() ? attempts_.cause(cut_cause::caller_time)
                                   : cut_cause::caller_time,
                 "time is over");
}

} // namespace plumdale::transport
