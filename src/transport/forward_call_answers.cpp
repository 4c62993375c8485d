#include "boot_clock.hpp"
#include "forward_call.hpp"

#include <plumdale/coordination/retry_delay.hpp>

#include <utility>

// Answers of upstreams and refusals of callers; forward_call.cpp sends calls and ends them.

namespace plumdale::transport
{
namespace
{

using coordination::call_result;

bool is_peer_decline(state::error_kind kind)
{
    return kind == state::error_kind::peer_declined || kind == state::error_kind::peer_at_capacity;
}

} // namespace

// -- answers --------------------------------------------------------------------------------------

void forward_call::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    head_ = head;
    framing_ = framing;
    answer_ = core_.dialect.read_answer(head);
    has_head_ = true;
    if (!answer_.misdirected)
    {
        core_.note_answered(member_);
    }
    // An answer of another incarnation states nothing about this one.
    if (!answer_.misdirected)
    {
        core_.apply_statement(member_, answer_.statement);
    }
    // A refusal that states no limit doesn't mean that there is none, nor does a late answer.
    bool const ends_limits = !answer_.not_run && !answer_.misdirected && !has_mismatched_id();
    if (ends_limits && !answer_.statement.request_limit)
    {
        core_.limits.answered(member_, std::nullopt);
    }
    if (ends_limits && !answer_.statement.refusal_limit)
    {
        core_.refusal_limits.answered(member_, std::nullopt);
    }
    if (!has_mismatched_id())
    {
        settle(answer_.not_run ? coordination::send_outcome::refused
                               : coordination::send_outcome::accepted);
    }
    // What belongs to no call says that the connection is out of step.
    exchange_->keep_alive(answer_.keep_alive, answer_.closes || has_mismatched_id());
}

void forward_call::on_end(exchange_end end)
{
    // The answer releases the channel's reference to this call.
    auto const self = shared_from_this();
    last_end_ = end;
    end == exchange_end::closed ? on_closed() : conclude(end);
}

void forward_call::ask_whether_it_lives(state::time_point until,
                                        std::function<void(bool)> on_answer)
{
    close_exchange();
    end_question::subject subject{admitted_.headers.id, member_, std::string{member_name()},
                                  address_, started_};
    end_question_ = std::make_shared<end_question>(
        core_, std::move(subject), until,
        [weak = weak_from_this(), serial = ++end_questions_,
         on_answer = std::move(on_answer)](bool lived_on)
        {
            auto const self = weak.lock();
            bool const is_due = self != nullptr && !self->finished_ && self->is_end_asked() &&
                                self->end_questions_ == serial;
            if (is_due)
            {
                self->drop_end_question();
                on_answer(lived_on);
            }
        });
    end_question_->start();
    arm_timer();
}

void forward_call::conclude(exchange_end end)
{
    note_evidence(end);
    if (end == exchange_end::broken)
    {
        core_.probe_in_doubt(member_);
    }
    exchange_ended(end);
}

void forward_call::settle(coordination::send_outcome outcome)
{
    if (std::exchange(is_open_, false))
    {
        core_.refusals.note_settled(member_, outcome, boot_now());
    }
}

void forward_call::note_unreachable()
{
    end_connecting();
    connection_failure_ = exchange_->failure();
    core_.metrics.add_failed_connection(connection_failure_);
    ++failed_connections_;
    core_.health.note(member_, call_result::unreachable, boot_now());
    core_.note_connection_failed(member_, connection_failure_);
}

// Upstreams echo the id of each call. What they sent before the call was written, as an unasked 408
// or a second copy of another answer, bears another one or none.
bool forward_call::has_mismatched_id() const
{
    return has_head_ && answer_.id != admitted_.headers.id;
}

bool forward_call::states_not_run() const
{
    return has_head_ && !has_mismatched_id() && (answer_.not_run || answer_.misdirected);
}

coordination::send_proof forward_call::record_end(exchange_end end)
{
    coordination::exchange_evidence seen;
    seen.is_written = end != exchange_end::unreachable && end != exchange_end::not_sent;
    seen.is_whole = end == exchange_end::complete;
    seen.has_own_id = has_head_ && !has_mismatched_id();
    seen.states_not_run = states_not_run();
    coordination::send_proof const proof = coordination::proof_in(seen);
    sends_.end(proof);
    return proof;
}

// The caller of such an answer would send a call again that has run, or runs later.
bool forward_call::has_unfounded_promise() const noexcept
{
    return answer_.promises_not_run && !answer_.not_run && !is_idempotent();
}

// Leaving upstreams end their connections too, which is no evidence against their requests.
void forward_call::note_evidence(exchange_end end)
{
    bool const is_own_answer = has_head_ && !has_mismatched_id() && !states_not_run();
    if (end == exchange_end::complete && is_own_answer)
    {
        return core_.quarantine.answered(attempt());
    }
    auto const running_since = runs_since();
    bool const is_suspect =
        !is_proven_ && (!running_since || boot_now() - *running_since <= suspected_for);
    bool const is_leaving = core_.departures.find(member_) != nullptr;
    if (end == exchange_end::broken && is_suspect && !is_leaving)
    {
        core_.quarantine.upstream_ended(attempt(), member_, member_name());
    }
}

void forward_call::exchange_ended(exchange_end end)
{
    coordination::send_proof const proof = record_end(end);
    if (end == exchange_end::unreachable)
    {
        note_unreachable();
        return redispatch("unreachable");
    }
    if (end == exchange_end::not_sent)
    {
        return redispatch("not sent after all");
    }
    if (has_mismatched_id())
    {
        // The answer to an earlier call came late, on a connection that was considered idle.
        core_.metrics.add(forward_count::answers_discarded);
        return retry_or_refuse("answer to another call");
    }
    if (proof == coordination::send_proof::refused)
    {
        if (answer_.misdirected)
        {
            core_.on_member_replaced(member_);
        }
        core_.health.note(member_, call_result::busy, boot_now());
        return redispatch(answer_.misdirected ? "another incarnation" : "refused by the upstream");
    }
    answer_ended(end);
}

std::vector<protocol::header_field> forward_call::answer_fields() const
{
    std::vector<protocol::header_field> fields;
    for (protocol::header_field const& field : head_.fields)
    {
        if (!protocol::is_hop_by_hop(head_, field.name))
        {
            fields.push_back(field);
        }
    }
    return fields;
}

// -- refusals -------------------------------------------------------------------------------------

state::duration forward_call::retry_after()
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    return coordination::draw_retry_after(admitted_.deadline - boot_now(), expected_wait_,
                                          draw(core_.random));
}

request_attempt forward_call::attempt() const noexcept
{
    return {admitted_.content(), admitted_.headers.id, tried_part_.has_value()};
}

bool forward_call::is_quarantined() const
{
    if (is_proven_)
    {
        return false;
    }
    return admitted_.origin.is_trial ? core_.quarantine.refuses_request(admitted_.request)
                                     : core_.quarantine.refuses(admitted_.content());
}

void forward_call::prove_sound(state::time_point now)
{
    auto const running_since = runs_since();
    if (!is_proven_ && running_since && now - *running_since >= proving_time)
    {
        is_proven_ = true;
        core_.quarantine.answer_goes_on(attempt());
    }
}

void forward_call::try_part_or_refuse()
{
    auto const part =
        may_have_run() ? std::nullopt : core_.quarantine.due_trial(admitted_.content());
    if (!part)
    {
        return refuse_quarantined();
    }
    state::node_id const vm = core_.choose_trial_vm(*part);
    if (vm != core_.self && !may_use_peer())
    {
        return refuse_quarantined();
    }
    admitted_.origin.is_trial = true;
    if (vm != core_.self)
    {
        core_.quarantine.hand_over_trial(*part);
        return hand_to_peer("one VM tries the part", {vm});
    }
    core_.quarantine.begin_trial(attempt(), *part);
    tried_part_ = part;
    dispatch();
}

void forward_call::refuse_quarantined()
{
    core_.metrics.add(forward_count::quarantine_refused);
    std::uniform_int_distribution<std::int64_t> spread{
        0, coordination::prompt_quarantine::trial_delays.front().count()};
    refuse(state::error_kind::quarantined,
           "upstreams ended under this request or a part of its prompt",
           core_.quarantine.known().refused_for(admitted_.content(), boot_now()) +
               state::duration{spread(core_.random)});
}

void forward_call::on_process_ending()
{
    refuse_draining();
}

// A peer's call is no caller of this VM's: the peer has another one take it.
void forward_call::refuse_draining()
{
    refuse(admitted_.origin.is_peer ? state::error_kind::peer_declined
                                    : state::error_kind::draining,
           shutting_down, draining_retry_after(core_, admitted_));
}

// Another VM may not have been refused yet: callers that can't wait for the end retry as usual.
void forward_call::refuse_backed_off(state::time_point end, state::time_point now)
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    auto const delay = coordination::draw_retry_after_backoff(end - now, admitted_.deadline - now,
                                                              draw(core_.random));
    refuse(state::error_kind::overloaded, "all upstreams back off", delay ? *delay : retry_after());
}

void forward_call::refuse(state::error_kind kind, std::string_view why)
{
    refuse(kind, why, retry_after());
}

void forward_call::refuse(state::error_kind kind, std::string_view why, state::duration retry_after)
{
    coordination::refusal const answer =
        is_peer_decline(kind) ? sends_.decline_as(kind) : sends_.refusal_as(kind);
    log("refused", why, state::answer_for(answer.kind()).name);
    core_.metrics.add(forward_count::refused);
    if (is_peer_decline(answer.kind()))
    {
        // The next peer's first send comes after those of this VM, and pays for none.
        spend_repeat();
    }
    // A peer's call that is declined is served, or refused, by another VM.
    if (!is_peer_decline(answer.kind()))
    {
        note_outcome(coordination::states_not_run(answer.kind())
                         ? coordination::call_outcome::refused
                         : coordination::call_outcome::failed);
    }
    auto const channel = channel_;
    finish();
    channel->refuse(answer, retry_after);
}

} // namespace plumdale::transport
