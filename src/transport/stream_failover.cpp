#include "boot_clock.hpp"
#include "milliseconds.hpp"
#include "stream_call.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <utility>

// Orders to copy and to stop a stream's generation, and its resumption. stream_move_rules.cpp
// says what a move needs here, stream_copies.cpp chooses where its memory goes; stream_call.cpp
// forwards its events to the caller.

namespace plumdale::transport
{
namespace
{

using namespace coordination;

constexpr unsigned success = 200;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned unavailable = 503;
// First copies may queue behind others on their link for as long as a notice lasts.
constexpr std::chrono::milliseconds copy_timeout{2'500};
constexpr std::chrono::milliseconds release_timeout{2'000};

copy_refusal refusal_of(state::result<fetch_answer> const& answer)
{
    if (!answer)
    {
        return answer.error().kind == state::error_kind::connection_refused
                   ? copy_refusal::process_gone
                   : copy_refusal::unreachable;
    }
    switch (answer.value().status)
    {
    case not_found:
        return copy_refusal::unknown_generation;
    case conflict:
        return copy_refusal::in_progress;
    case unavailable:
        return copy_refusal::no_capacity;
    default:
        return copy_refusal::rejected;
    }
}

} // namespace

// -- notifications --------------------------------------------------------------------------------

void stream_call::on_member_leaving(state::member_key member, departure const& when)
{
    // A generation without an event has nothing to copy: its upstream doesn't know it yet. Copies
    // ordered every 50 ms until the first event were refused, and announced load to peers that
    // never came. The departure is checked again at the first event.
    bool const runs = begun_ && !resuming_;
    bool const is_affected = !finished_ && exchange_ != nullptr && member == member_ && runs &&
                             admitted_.service->engine && admitted_.service->engine->live_migration;
    on_backup_leaving(member);
    on_destination_leaving(member);
    // A generation that ends before its upstream is gone would only delay the copies of others.
    bool const outlives = expected_remaining_time(boot_now()) > departure_time(when) - boot_now();
    if (!is_affected || !outlives)
    {
        return;
    }
    member_load const fleet = core_.ledger.total(member);
    copy_schedule times =
        schedule_copies(when, *admitted_.service->engine, fleet.tokens, fleet.calls);
    state::time_point const now = boot_now();
    times.first = first_copy_turn(when, fleet, now);
    core_.log.write("call", "upstream leaves", admitted_.headers.id,
                    {{"upstream", member_name()},
                     {"learnt_ms_ago", whole_milliseconds(now - when.learnt_at)},
                     {"leaves_in_ms", when.leaves_at ? whole_milliseconds(*when.leaves_at - now)
                                                     : std::int64_t{-1}},
                     {"first_copy_in_ms",
                      times.first ? whole_milliseconds(times.first->from - now) : std::int64_t{0}},
                     {"last_copy_in_ms", whole_milliseconds(times.last_at - now)},
                     {"fleet_calls", fleet.calls},
                     {"fleet_tokens", fleet.tokens}});
    failover_actions actions;
    failover().source_leaves(times, now, actions);
    apply(actions);
}

void stream_call::on_backup_leaving(state::member_key member)
{
    if (finished_ || backup_load_.calls == 0 || member != backup_load_.member)
    {
        return;
    }
    drop_backup();
    log("backup leaves", {});
    failover_actions actions;
    failover().backup_leaves(member, boot_now(), actions);
    apply(actions);
}

void stream_call::on_destination_leaving(state::member_key member)
{
    if (finished_ || !failover_)
    {
        return;
    }
    failover_actions actions;
    failover_->destination_leaves(member, boot_now(), actions);
    apply(actions);
}

// The connection of a restarted upstream may stay silent until the caller gives up, although a
// backup exists elsewhere. The former incarnation runs nothing any more, so a resumption runs
// nothing twice.
void stream_call::on_member_restarted(state::member_key member, run_ended proof)
{
    auto const self = shared_from_this();
    on_backup_leaving(member);
    if (finished_)
    {
        return;
    }
    if (begun_ && member == failover().source())
    {
        return end_run_of_former_start(proof);
    }
    if (member == member_ && exchange_ != nullptr)
    {
        log("upstream started again", to_text(proof.proof()));
        bool const sent = exchange_->sent();
        exchange_->cancel();
        on_end(sent ? exchange_end::broken : exchange_end::not_sent);
    }
}

void stream_call::end_run_of_former_start(run_ended proof)
{
    log("upstream started again", to_text(proof.proof()));
    run_ += exchange_ != nullptr && resuming_ ? 1 : 0;
    close_exchange();
    drop_end_question();
    found_no_run_ = false;
    failover_actions actions;
    failover().source_gone(proof, boot_now(), actions);
    apply(actions);
}

// A backup in the zone could be kept, but no resumption may be sent there.
void stream_call::on_zone_evacuated(state::zone_id zone)
{
    directory_entry const* const holder = core_.directory.find(backup_load_.member);
    if (holder != nullptr && state::id_from_name<state::zone_id>(holder->info.zone) == zone)
    {
        on_backup_leaving(backup_load_.member);
    }
}

generation_failover& stream_call::failover()
{
    if (!failover_)
    {
        failover_.emplace(member_, make_move_rules());
    }
    return *failover_;
}

void stream_call::apply(failover_actions const& actions)
{
    auto const self = shared_from_this();
    for (failover_action const& action : actions)
    {
        std::visit([this](auto const& each) { carry_out(each); }, action);
    }
    if (!finished_)
    {
        arm_timer();
    }
}

void stream_call::reserve_for_copy(state::member_key destination)
{
    drop_load(copy_load_);
    copy_load_ = {destination, 1, load_.tokens, load_.tokens_at_end, 0};
    core_.ledger.add(destination, copy_load_);
    announce_load(destination);
}

void stream_call::carry_out(order_copy const& action)
{
    remember_address(action.source);
    remember_address(action.destination);
    auto const source = addresses_.find(action.source);
    auto const destination = addresses_.find(action.destination);
    if (source == addresses_.end() || destination == addresses_.end())
    {
        return on_copy_unordered(action.last);
    }
    reserve_for_copy(action.destination);
    if (action.last)
    {
        note_stop_ordered(action.source);
    }
    core_.metrics.add(action.last ? forward_count::copies_last : forward_count::copies_first);
    log(action.last ? "last copy ordered" : "first copy ordered", name_of(action.destination));
    fetch_canceller cancel = core_.orders.send_to(
        action.source, source->second,
        core_.dialect.copy_request(admitted_.headers.id, destination->second, action.last),
        action.last ? longest_wait_for_stop() : copy_timeout,
        [weak = weak_from_this(), last = action.last, at = action.source,
         is_open = exchange_ != nullptr, run = run_](state::result<fetch_answer> const& answer)
        {
            auto const self = std::static_pointer_cast<stream_call>(weak.lock());
            if (self == nullptr)
            {
                return;
            }
            if (last)
            {
                self->note_stop_answered(at, outcome_of(answer), is_open);
            }
            // A late answer of a former run's upstream says nothing of the current run.
            if (self->run_ == run)
            {
                self->on_copy_answer(last, answer);
            }
        });
    if (action.last)
    {
        open_stops_.push_back(std::move(cancel));
    }
}

void stream_call::cancel_stops()
{
    for (fetch_canceller const& cancel : std::exchange(open_stops_, {}))
    {
        cancel();
    }
}

void stream_call::note_stop_ordered(state::member_key source)
{
    attempts_.begin(boot_now());
    ++attempts_.stop_orders;
    ends_.stop_ordered(source);
}

void stream_call::note_stop_answered(state::member_key source, stop_outcome outcome, bool was_open)
{
    ends_.order_ended(source, outcome);
    attempts_.stopped_running =
        attempts_.stopped_running || (was_open && outcome != stop_outcome::no_effect);
}

// The answer says what became of the run for as long as its caller waits for it.
std::chrono::milliseconds stream_call::longest_wait_for_stop() const
{
    state::time_point const now = boot_now();
    state::duration const wait = std::min(admitted_.deadline - now, silence_timeout());
    return std::max(copy_timeout, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

// Called later, as the answer to an order is.
void stream_call::on_copy_unordered(bool last)
{
    net::post(core_.context,
              [weak = weak_from_this(), last]
              {
                  auto const self = std::static_pointer_cast<stream_call>(weak.lock());
                  if (self != nullptr && !self->finished_)
                  {
                      self->on_copy_answer(
                          last, state::failure{state::error_kind::no_upstream, "unknown upstream"});
                  }
              });
}

void stream_call::on_copy_answer(bool last, state::result<fetch_answer> const& answer)
{
    state::time_point const now = boot_now();
    auto const copy = answer ? core_.dialect.read_copy_answer(answer.value().body)
                             : state::result<protocol::copy_answer>{state::failure{}};
    failover_actions actions;
    if (answer && answer.value().status == success && copy)
    {
        log(last ? "last copy complete" : "first copy complete", {});
        failover_->copied(copy.value().handle, now, actions);
    }
    else
    {
        core_.metrics.add(forward_count::copies_refused);
        log(last ? "last copy refused" : "first copy refused",
            answer ? std::to_string(answer.value().status) : answer.error().detail);
        copy_refusal const reason = refusal_of(answer);
        if (!finished_ && last && reason == copy_refusal::unknown_generation &&
            ends_.may_be_whole())
        {
            // It had ended before the order came, unless its process is gone.
            found_no_run_ = true;
            return ask_end();
        }
        return refuse_copy(reason, copy ? copy.value().handle : std::string{});
    }
    if (!finished_)
    {
        apply(actions);
    }
}

void stream_call::refuse_copy(copy_refusal reason, std::string handle)
{
    drop_load(copy_load_);
    failover_actions actions;
    failover_->copy_refused(reason, std::move(handle), boot_now(), actions);
    if (!finished_)
    {
        apply(actions);
    }
}

// What the users' page says of a 409, and of a 503 without a handle, leaves open whether the run
// was stopped first.
stop_outcome stream_call::outcome_of(state::result<fetch_answer> const& answer)
{
    if (answer)
    {
        return answer.value().status == not_found ? stop_outcome::no_effect : stop_outcome::open;
    }
    using state::error_kind;
    error_kind const kind = answer.error().kind;
    bool const is_unwritten = kind == error_kind::connection_refused ||
                              kind == error_kind::overloaded || kind == error_kind::no_upstream;
    return is_unwritten ? stop_outcome::no_effect : stop_outcome::open;
}

void stream_call::carry_out(resume_generation const& action)
{
    auto const holder = address_of(action.holder);
    if (!holder)
    {
        return abort_answer(attempts_.cause(cut_cause::own_limit),
                            "the upstream that held the memory is unknown");
    }
    // An upstream that carried out an order was not ended by the request.
    if (action.former.proof() == send_proof::stopped)
    {
        trust_request();
    }
    if (is_quarantined())
    {
        return abort_answer(attempts_.cause(cut_cause::own_limit),
                            "upstreams ended under this request or a part of its prompt");
    }
    if (!progress_.is_resumable())
    {
        return abort_answer(attempts_.cause(cut_cause::own_limit), unnumbered_events);
    }
    close_exchange();
    if (!reserve_repeat(retry_priority::owed))
    {
        return postpone_resumption();
    }
    ends_.run_begins();
    closed_whole_.reset();
    resume_from_ = protocol::resume_point{
        *holder, action.handle.empty() ? admitted_.headers.id : action.handle, progress_.last_id()};
    progress_.resume();
    events_ = {};
    drop_load(copy_load_);
    streaming_ = false;
    resuming_ = true;
    sends_.end(action.former.proof());
    ++attempts_.resumptions;
    attempts_.held_at = action.at;
    log("resuming", name_of(action.at));
    open_exchange(action.at);
}

// The memory is kept elsewhere for some seconds, and retries are earned meanwhile: a late answer is
// worth more than one that breaks off. The caller's patience ends the wait.
void stream_call::postpone_resumption()
{
    if (!std::exchange(has_noted_no_retry_, true))
    {
        log("resumption waits", "no repeat left");
    }
    failover_->resume_postponed(boot_now());
}

void stream_call::carry_out(release_copy const& action)
{
    core_.orders.send(
        action.source, core_.dialect.copy_release_request(action.handle), release_timeout,
        [&log = core_.log, id = admitted_.headers.id](state::result<fetch_answer> const& answer)
        {
            // If the release fails, the copy is freed when its lifetime ends.
            if (!answer)
            {
                log.write("call", "release failed", id, {{"detail", answer.error().detail}});
            }
        });
}

void stream_call::carry_out(abandon_generation const& action)
{
    static constexpr std::array<std::string_view, 3> reasons{"no upstream holds its memory",
                                                             "upstreams that leave hold its memory",
                                                             "its memory is kept no longer"};
    bool const lacked_repeats = action.reason == abandon_reason::expired && has_noted_no_retry_;
    abort_answer(attempts_.cause(cut_cause::upstream),
                 lacked_repeats ? "no repeat was left while its memory was kept"
                                : reasons[static_cast<std::size_t>(action.reason)]);
}

} // namespace plumdale::transport
