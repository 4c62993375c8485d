#include "forward_call.hpp"

#include "boot_clock.hpp"
#include "call_through_peer.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using coordination::call_result;

} // namespace

forward_call::forward_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                           admitted_call admitted)
    : core_{core}, channel_{std::move(channel)}, admitted_{std::move(admitted)}, timer_{
                                                                                     core.context}
{
    ++core_.calls_in_progress;
    core_.peer_calls_in_progress += admitted_.origin.is_peer ? 1 : 0;
    sends_ = coordination::send_record{admitted_.origin.possible_runs};
}

forward_call::~forward_call()
{
    finish();
}

void forward_call::start()
{
    if (!admitted_.origin.is_counted)
    {
        core_.note_call(admitted_.service->name);
        admitted_.origin.is_counted = true;
    }
    latest_send_ = latest_send();
    dispatch();
}

// -- sending --------------------------------------------------------------------------------------

void forward_call::dispatch()
{
    state::time_point const now = boot_now();
    if (now >= admitted_.deadline)
    {
        return on_timeout();
    }
    if (!may_send_before_stop(core_, admitted_, now))
    {
        return refuse_draining();
    }
    if (is_quarantined())
    {
        return try_part_or_refuse();
    }
    if (core_.reach.is_lost() && may_use_peer())
    {
        return hand_to_peer("no upstream reached");
    }
    if (is_ranked() && now < latest_send_ && !has_turn(now))
    {
        return wait_or_refuse(true, now);
    }
    bool const is_recheck = is_waiting_ && admitted_.service->engine;
    auto chosen = select_upstream(is_recheck ? recheck_candidates(now)
                                             : coordination::selection_options::sampled_candidates,
                                  now);
    // Only new calls and calls at the end of their wait examine many upstreams: unlike waiting
    // calls they select at different moments, and receive each other's loads in between.
    if (!chosen && (!is_recheck || !is_worth_waiting(now)))
    {
        chosen = select_upstream(coordination::selection_options::thorough_candidates, now);
        chosen = chosen ? chosen : select_slow_upstream(now);
    }
    if (chosen)
    {
        forecast().note_found(has_others_waiting(), now);
        return open_exchange(*chosen);
    }
    forecast().note_none(is_waiting_, now);
    // An operator's order of evacuation lasts longer than a caller waits.
    if (core_.directory.is_wholly_evacuated(admitted_.service->name, now))
    {
        return refuse(state::error_kind::no_upstream, "all zones with upstreams are evacuated");
    }
    // VMs in other zones may reach them: the caller is told to ask one.
    if (is_cut_off_)
    {
        return refuse(state::error_kind::no_upstream, "all zones with upstreams are cut off");
    }
    if (hand_over_without_share(now))
    {
        return;
    }
    auto const backoffs_end = core_.gate.backoffs_end(admitted_.service->name, now);
    // Upstreams that ask for a pause say when they serve again: a caller that would be late is told
    // that time at once.
    if (backoffs_end && *backoffs_end > admitted_.call.read_at + admitted_.route->target_latency)
    {
        return refuse_backed_off(*backoffs_end, now);
    }
    wait_or_refuse(blocking_limit_ != coordination::admission_limit::none || is_recheck, now);
}

std::optional<state::member_key> forward_call::select_upstream(std::size_t candidates,
                                                               state::time_point now)
{
    coordination::selection_options options;
    options.candidates = candidates;
    return select_upstream(options, now);
}

// Those whose pace keeps the bound are full. An answer with a long gap is late, a refused call has
// none.
std::optional<state::member_key> forward_call::select_slow_upstream(state::time_point now)
{
    if (core_.hints.speeds == nullptr || admitted_.demand.max_gap == state::duration::zero())
    {
        return std::nullopt;
    }
    coordination::selection_options options;
    options.candidates = coordination::selection_options::thorough_candidates;
    options.accepts_long_gaps = true;
    return select_upstream(options, now);
}

std::optional<state::member_key>
forward_call::select_upstream(coordination::selection_options options, state::time_point now)
{
    options.preferred_zone = core_.selector.own_zone();
    options.excluded = excluded_;
    auto const chosen = core_.selector.choose(*admitted_.service, admitted_.demand, options, now);
    // Zones that are cut off are probed apart from calls, which could only lose time there.
    is_cut_off_ = chosen && core_.is_zone_cut(chosen->member, now);
    if (!chosen || is_cut_off_)
    {
        return std::nullopt;
    }
    best_ = *chosen;
    blocking_limit_ = limit_for(*chosen);
    return blocking_limit_ == coordination::admission_limit::none ? std::optional{chosen->member}
                                                                  : std::nullopt;
}

coordination::admission_limit
forward_call::limit_for(coordination::selected_upstream const& /*best*/) const
{
    return coordination::admission_limit::none;
}

void forward_call::open_exchange(state::member_key member)
{
    coordination::directory_entry const* const entry = core_.directory.find(member);
    leave_waiting(true);
    member_ = member;
    address_ = entry->info.address;
    started_ = entry->info.started;
    std::uint32_t const at_end = admitted_.demand.prompt_tokens + admitted_.demand.output_tokens;
    load_ = {member, 1, tokens_held(), std::max(tokens_held(), at_end), pending_prefill_tokens()};
    core_.ledger.add(member, load_);
    announce_load(member);
    has_head_ = false;
    answer_ = {};
    connection_failure_ = connection_failure::none;
    ++tries_;
    upstream_exchange::options options;
    options.member = member;
    options.address = address_;
    options.source = core_.settings.upstream_source;
    options.without_body = admitted_.call.head.method == "HEAD";
    options.max_idle = longest_idle(member);
    sends_.begin(member);
    exchange_ = std::make_shared<upstream_exchange>(core_.context, core_.pool, options, *this);
    is_connecting_ = true;
    core_.note_connecting(member, true);
    exchange_->start();
    if (!finished_)
    {
        arm_timer();
    }
}

// A second copy of an upstream's refusal has the right id: on the connection of the send that was
// refused it would be taken for the answer to a later one.
state::duration forward_call::longest_idle(state::member_key member) const
{
    if (sends_.has_written_to(member))
    {
        return state::duration::zero();
    }
    return is_idempotent() ? idempotent_max_idle : non_idempotent_max_idle;
}

protocol::system_headers forward_call::make_system_headers(state::time_point now) const
{
    protocol::system_headers headers;
    headers.time_left = admitted_.deadline - now;
    headers.member = member_name();
    if (admitted_.customer != nullptr)
    {
        headers.customer = admitted_.customer->name;
    }
    return headers;
}

bool forward_call::may_send(coordination::directory_entry const& entry, state::time_point now) const
{
    if (now >= admitted_.deadline || is_quarantined())
    {
        return false;
    }
    // A resumed answer goes on event by event, so that its caller gets what comes before the end.
    if (is_resumption())
    {
        return core_.gate.may_resume(entry, now);
    }
    return may_send_before_stop(core_, admitted_, now) &&
           core_.gate.may_send(entry, *admitted_.service, now);
}

std::optional<std::string> forward_call::request()
{
    state::time_point const now = boot_now();
    end_connecting();
    coordination::directory_entry const* const entry = core_.directory.find(member_);
    // Connecting took time, and the process may have been paused meanwhile: the conditions under
    // which the upstream was chosen are checked again before anything is sent.
    if (entry == nullptr || !may_send(*entry, now))
    {
        return std::nullopt;
    }
    is_cold_ = core_.gate.is_cold(*entry, *admitted_.service, now);
    core_.gate.note_sent(*entry, *admitted_.service, now);
    is_open_ = true;
    sent_at_ = now;
    first_sent_at_ = sends_.written() == 0 ? now : first_sent_at_;
    sends_.note_written();
    if (!exchange_->reused())
    {
        core_.note_connected(member_);
    }
    core_.metrics.add(forward_count::sends);
    core_.metrics.add(exchange_->reused() ? forward_count::connections_reused
                                          : forward_count::connections_opened);
    spend_repeat();
    if (sends_.written() > 1)
    {
        core_.log_repeat(admitted_.headers.id, admitted_.service->name,
                         is_resumption() ? "resumption" : "retry");
    }
    log("sent", exchange_->reused() ? "on a kept connection" : "on a new connection");
    std::string text = core_.dialect.forwarded_head(admitted_.call.head, make_system_headers(now),
                                                    admitted_.call.body.size());
    text += admitted_.call.body;
    core_.on_call_bytes(text.size());
    // What is due after a send counts from now, not from when the connection was begun.
    arm_timer();
    return text;
}

void forward_call::redispatch(std::string_view why)
{
    excluded_.push_back(member_);
    close_exchange();
    log("upstream passed over", why);
    if (!may_send_before_stop(core_, admitted_, boot_now()))
    {
        return refuse_draining();
    }
    bool const is_repeat = sends_.written() > 0;
    bool const is_last = tries_ >= try_limit || core_.reach.is_lost();
    bool const may_hand_over = admitted_.origin.is_peer || !core_.is_any_zone_cut(boot_now());
    if (is_last && has_connected_to_none() && may_hand_over)
    {
        return hand_over_or_refuse(why, state::error_kind::peer_declined);
    }
    if (tries_ >= try_limit)
    {
        return refuse(state::error_kind::overloaded, why);
    }
    using coordination::retry_priority;
    auto const priority =
        admitted_.service->engine ? retry_priority::yielding : retry_priority::preferred;
    if (is_repeat && !reserve_repeat(priority))
    {
        return refuse(state::error_kind::overloaded, "no repeat left");
    }
    dispatch();
}

bool forward_call::reserve_repeat(coordination::retry_priority priority)
{
    return reserve_repeats(1, priority);
}

bool forward_call::reserve_repeats(std::size_t count, coordination::retry_priority priority)
{
    std::string const& service = admitted_.service->name;
    std::size_t const before = reserved_repeats_;
    while (reserved_repeats_ < count && core_.reserve_retry(service, priority))
    {
        ++reserved_repeats_;
    }
    bool const are_enough = reserved_repeats_ >= count;
    for (; !are_enough && reserved_repeats_ > before; --reserved_repeats_)
    {
        core_.release_retry(service);
    }
    return are_enough;
}

void forward_call::spend_repeat()
{
    if (reserved_repeats_ > 0)
    {
        --reserved_repeats_;
        core_.spend_retry(admitted_.service->name);
    }
}

void forward_call::release_repeats()
{
    for (; reserved_repeats_ > 0; --reserved_repeats_)
    {
        core_.release_retry(admitted_.service->name);
    }
}

bool forward_call::has_connected_to_none() const noexcept
{
    return tries_ > 0 && failed_connections_ == tries_;
}

void forward_call::hand_over_or_refuse(std::string_view why, state::error_kind decline,
                                       std::vector<state::node_id> peers)
{
    if (may_use_peer())
    {
        return hand_to_peer(why, std::move(peers));
    }
    refuse(decline, why);
}

bool forward_call::hand_over_without_share(state::time_point now)
{
    bool const is_at_capacity = blocking_limit_ != coordination::admission_limit::none;
    auto const without_share =
        is_at_capacity || is_resumption()
            ? std::nullopt
            : core_.gate.upstream_without_share(*admitted_.service, core_.random(), now);
    // A share that is in use is free again as soon as an answer begins. A peer's may be free now,
    // so the call looks at its own once more and then goes there.
    bool const is_final =
        without_share && (is_waiting_ || core_.refusals.share_of(*without_share) == 0);
    if (is_final)
    {
        hand_over_or_refuse("no share of the refusals that upstreams bear",
                            state::error_kind::peer_at_capacity,
                            core_.refusals.peers_with_share(*without_share));
    }
    return is_final;
}

bool forward_call::may_use_peer() const
{
    return !admitted_.origin.is_peer && !is_resumption();
}

void forward_call::hand_to_peer(std::string_view why, std::vector<state::node_id> peers)
{
    log("handed to a peer", why);
    admitted_call call = admitted_;
    call.origin.possible_runs = sends_.possible_runs();
    // It pays for the peer's first send, which pays for none.
    spend_repeat();
    auto const channel = channel_;
    auto& core = core_;
    finish();
    auto const handler =
        std::make_shared<call_through_peer>(core, channel, std::move(call), std::move(peers));
    channel->hand_over(handler);
    handler->start();
}

void forward_call::retry_or_refuse(std::string_view why)
{
    core_.health.note(member_, call_result::failed, boot_now());
    if (sends_.may_send_again(is_idempotent(), admitted_.route->max_attempts))
    {
        return redispatch(why);
    }
    refuse(state::error_kind::may_have_run, why);
}

// -- ends -----------------------------------------------------------------------------------------

void forward_call::end_connecting()
{
    if (std::exchange(is_connecting_, false))
    {
        core_.note_connecting(member_, false);
    }
}

void forward_call::close_exchange()
{
    end_connecting();
    if (exchange_ != nullptr)
    {
        exchange_->cancel();
        exchange_ = nullptr;
    }
    settle(coordination::send_outcome::unknown);
    drop_load(load_);
}

void forward_call::end_invalid_answer(std::string_view why)
{
    log("answer without an end", why);
    core_.metrics.add(forward_count::answers_discarded);
    exchange_->cancel();
    on_end(exchange_end::invalid);
}

void forward_call::note_outcome(coordination::call_outcome outcome)
{
    core_.outcomes.note(admitted_.route->name, outcome);
}

void forward_call::drop_load(coordination::member_load& load)
{
    if (load.calls != 0)
    {
        core_.ledger.remove(load.member, load);
        announce_load(load.member);
        load = {};
    }
}

// A plain call ends before an update on it would arrive, so only generations are announced.
void forward_call::announce_load(state::member_key member)
{
    if (admitted_.service->engine)
    {
        core_.on_load_changed(member);
    }
}

void forward_call::finish()
{
    if (finished_)
    {
        return;
    }
    finished_ = true;
    --core_.calls_in_progress;
    core_.peer_calls_in_progress -= admitted_.origin.is_peer ? 1 : 0;
    timer_.cancel();
    if (tried_part_)
    {
        core_.quarantine.end_trial(*tried_part_);
    }
    leave_waiting(false);
    release_repeats();
    drop_end_question();
    close_exchange();
}

void forward_call::on_caller_disconnected()
{
    core_.metrics.add(forward_count::callers_left);
    log("caller left", {});
    note_outcome(coordination::call_outcome::caller_disconnected);
    finish();
}

void forward_call::on_caller_ready() {}

// -- time -----------------------------------------------------------------------------------------

state::time_point forward_call::next_deadline() const
{
    return retry_at_;
}

void forward_call::on_timer(state::time_point now)
{
    if (now >= retry_at_)
    {
        retry_at_ = state::never;
        dispatch();
    }
}

void forward_call::arm_timer()
{
    timer_.expires_after(time_until(std::min(admitted_.deadline, next_deadline())));
    timer_.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr && !self->finished_)
            {
                self->on_deadline_timer();
            }
        });
}

void forward_call::on_deadline_timer()
{
    state::time_point const now = boot_now();
    if (now >= admitted_.deadline)
    {
        return on_timeout();
    }
    on_timer(now);
    if (!finished_)
    {
        arm_timer();
    }
}

} // namespace plumdale::transport
