#include "forward_call.hpp"

#include "boot_clock.hpp"

#include <plumdale/coordination/retry_delay.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using coordination::call_result;

constexpr state::duration min_retry_after = std::chrono::milliseconds{250};
// Retries of callers that were refused together are spread over this time.
constexpr state::duration retry_after_jitter = std::chrono::milliseconds{500};

} // namespace

forward_call::forward_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                           admitted_call admitted)
    : core_{core}, channel_{std::move(channel)}, admitted_{std::move(admitted)}, timer_{
                                                                                     core.context}
{
    ++core_.calls_in_progress;
}

forward_call::~forward_call()
{
    finish();
}

void forward_call::start()
{
    core_.note_call(admitted_.service->name);
    wait_until_ = admitted_.call.read_at + longest_wait();
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
    if (is_quarantined())
    {
        return refuse_quarantined();
    }
    bool const is_recheck = is_waiting_ && admitted_.service->engine;
    auto chosen = select_upstream(
        is_recheck ? waiting_candidates : coordination::selection_options::sampled_candidates, now);
    // Only new calls and calls at the end of their wait examine many upstreams: unlike waiting
    // calls they select at different moments, and receive each other's loads in between.
    if (!chosen && (!is_recheck || now >= wait_until_))
    {
        chosen = select_upstream(coordination::selection_options::thorough_candidates, now);
    }
    if (chosen)
    {
        return open_exchange(*chosen);
    }
    // An operator's order of evacuation lasts longer than a caller waits.
    if (core_.directory.is_wholly_evacuated(admitted_.service->name, now))
    {
        return refuse(may_have_run() ? state::error_kind::may_have_run
                                     : state::error_kind::no_upstream,
                      "all zones with upstreams are evacuated");
    }
    auto const backoffs_end = core_.gate.backoffs_end(admitted_.service->name, now);
    if (backoffs_end && *backoffs_end > wait_until_)
    {
        return refuse_backed_off(*backoffs_end, now);
    }
    wait_or_refuse(blocking_limit_ != coordination::admission_limit::none || is_recheck, now);
}

std::optional<state::member_key> forward_call::select_upstream(std::size_t candidates,
                                                               state::time_point now)
{
    coordination::selection_options options;
    options.preferred_zone = core_.selector.own_zone();
    options.excluded = excluded_;
    options.candidates = candidates;
    auto const chosen = core_.selector.choose(*admitted_.service, admitted_.demand, options, now);
    if (!chosen)
    {
        return std::nullopt;
    }
    best_ = *chosen;
    blocking_limit_ = limit_for(*chosen, now);
    return blocking_limit_ == coordination::admission_limit::none ? std::optional{chosen->member}
                                                                  : std::nullopt;
}

void forward_call::wait_or_refuse(bool at_capacity, state::time_point now)
{
    if (now < wait_until_)
    {
        if (!std::exchange(is_waiting_, true))
        {
            log("waiting", at_capacity ? "all upstreams are crowded" : "no upstream");
        }
        excluded_.clear();
        std::uniform_int_distribution<std::int64_t> step{wait_step.count() / 2,
                                                         2 * wait_step.count()};
        retry_at_ = now + state::duration{step(core_.random)};
        return arm_timer();
    }
    if (may_have_run())
    {
        return refuse(state::error_kind::may_have_run, "no other upstream");
    }
    at_capacity ? refuse(state::error_kind::overloaded, "all upstreams are crowded")
                : refuse(state::error_kind::no_upstream, "no upstream");
}

coordination::admission_limit
forward_call::limit_for(coordination::selected_upstream const& /*best*/,
                        state::time_point /*now*/) const
{
    return coordination::admission_limit::none;
}

state::duration forward_call::longest_wait() const
{
    return std::max<state::duration>(wait_step, admitted_.route->target_latency / wait_divisor);
}

void forward_call::open_exchange(state::member_key member)
{
    coordination::directory_entry const* const entry = core_.directory.find(member);
    member_ = member;
    std::uint32_t const at_end = admitted_.demand.prompt_tokens + admitted_.demand.output_tokens;
    load_ = {member, 1, tokens_held(), std::max(tokens_held(), at_end), pending_prefill_tokens()};
    core_.ledger.add(member, load_);
    announce_load(member);
    has_head_ = false;
    answer_ = {};
    ++tries_;
    upstream_exchange::options options;
    options.member = member;
    options.address = entry->info.address;
    options.without_body = admitted_.call.head.method == "HEAD";
    options.max_idle = admitted_.route->kind == state::call_kind::idempotent
                           ? idempotent_max_idle
                           : non_idempotent_max_idle;
    exchange_ = std::make_shared<upstream_exchange>(core_.context, core_.pool, options, *this);
    exchange_->start();
    if (!finished_)
    {
        arm_timer();
    }
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
    return is_resumption() ? core_.gate.may_resume(entry, now)
                           : core_.gate.may_send(entry, *admitted_.service, now);
}

std::optional<std::string> forward_call::request()
{
    state::time_point const now = boot_now();
    coordination::directory_entry const* const entry = core_.directory.find(member_);
    // Connecting took time, and the process may have been paused meanwhile: the conditions under
    // which the upstream was chosen are checked again before anything is sent.
    if (entry == nullptr || !may_send(*entry, now))
    {
        return std::nullopt;
    }
    is_cold_ = core_.gate.is_cold(*entry, *admitted_.service, now);
    core_.gate.note_sent(*entry, *admitted_.service, now);
    sent_at_ = now;
    first_sent_at_ = sends_ == 0 ? now : first_sent_at_;
    ++sends_;
    core_.metrics.add(forward_count::sends);
    core_.metrics.add(exchange_->reused() ? forward_count::connections_reused
                                          : forward_count::connections_opened);
    log("sent", exchange_->reused() ? "on a kept connection" : "on a new connection");
    std::string text = core_.dialect.forwarded_head(admitted_.call.head, make_system_headers(now),
                                                    admitted_.call.body.size());
    text += admitted_.call.body;
    return text;
}

void forward_call::redispatch(std::string_view why)
{
    excluded_.push_back(member_);
    close_exchange();
    log("upstream passed over", why);
    bool const is_repeat = sends_ > 0;
    if (tries_ >= try_limit)
    {
        return may_have_run() ? refuse(state::error_kind::may_have_run, why)
                              : refuse(state::error_kind::overloaded, why);
    }
    if (is_repeat && !core_.take_retry(admitted_.service->name))
    {
        return may_have_run() ? refuse(state::error_kind::may_have_run, "no repeat left")
                              : refuse(state::error_kind::overloaded, "no repeat left");
    }
    dispatch();
}

void forward_call::retry_or_refuse(std::string_view why)
{
    ++possible_runs_;
    core_.health.note(member_, call_result::failed, boot_now());
    bool const may_repeat = admitted_.route->kind == state::call_kind::idempotent &&
                            possible_runs_ < admitted_.route->max_attempts;
    if (may_repeat)
    {
        return redispatch(why);
    }
    refuse(state::error_kind::may_have_run, why);
}

// -- answers --------------------------------------------------------------------------------------

void forward_call::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    head_ = head;
    framing_ = framing;
    answer_ = core_.dialect.read_answer(head);
    has_head_ = true;
    // An answer of another incarnation states nothing about this one.
    if (!answer_.misdirected)
    {
        core_.apply_statement(member_, answer_.statement);
    }
    // A refusal that states no limit doesn't mean that there is none, nor does a late answer.
    bool const ends_limit = !answer_.statement.request_limit && !answer_.not_run &&
                            !answer_.misdirected && !has_mismatched_id();
    if (ends_limit)
    {
        core_.limits.answered(member_, std::nullopt);
    }
    exchange_->keep_alive(answer_.keep_alive, answer_.closes);
}

void forward_call::on_end(exchange_end end)
{
    note_evidence(end);
    exchange_ended(end);
}

bool forward_call::has_mismatched_id() const
{
    return has_head_ && !answer_.id.empty() && answer_.id != admitted_.headers.id;
}

bool forward_call::is_refused_by_upstream(exchange_end end) const
{
    return has_head_ && end == exchange_end::complete && (answer_.not_run || answer_.misdirected);
}

// Leaving upstreams end their connections too, which is no evidence against their requests.
void forward_call::note_evidence(exchange_end end)
{
    request_attempt const attempt{admitted_.request, admitted_.headers.id};
    bool const is_own_answer = has_head_ && !has_mismatched_id() && !is_refused_by_upstream(end);
    if (end == exchange_end::complete && is_own_answer)
    {
        return core_.quarantine.answered(attempt);
    }
    auto const running_since = runs_since();
    bool const is_suspect = !running_since || boot_now() - *running_since <= suspected_for;
    bool const is_leaving = core_.departures.find(member_) != nullptr;
    if (end == exchange_end::broken && is_suspect && !is_leaving)
    {
        core_.quarantine.upstream_ended(attempt, member_, member_name());
    }
}

void forward_call::exchange_ended(exchange_end end)
{
    if (end == exchange_end::unreachable)
    {
        core_.health.note(member_, call_result::unreachable, boot_now());
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
    if (is_refused_by_upstream(end))
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

state::duration forward_call::retry_after()
{
    std::uniform_int_distribution<std::int64_t> spread{0, retry_after_jitter.count()};
    return min_retry_after + state::duration{spread(core_.random)};
}

bool forward_call::is_quarantined() const
{
    return core_.quarantine.refuses(admitted_.request);
}

void forward_call::refuse_quarantined()
{
    core_.metrics.add(forward_count::quarantine_refused);
    refuse(may_have_run() ? state::error_kind::may_have_run : state::error_kind::quarantined,
           "upstreams ended under this request",
           core_.quarantine.known().refused_for(admitted_.request, boot_now()));
}

// Another VM may not have been refused yet: callers that can't wait for the end retry as usual.
void forward_call::refuse_backed_off(state::time_point end, state::time_point now)
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    auto const delay = coordination::draw_retry_after_backoff(end - now, admitted_.deadline - now,
                                                              draw(core_.random));
    refuse(may_have_run() ? state::error_kind::may_have_run : state::error_kind::overloaded,
           "all upstreams back off", delay ? *delay : retry_after());
}

void forward_call::refuse(state::error_kind kind, std::string_view why)
{
    refuse(kind, why, retry_after());
}

void forward_call::refuse(state::error_kind kind, std::string_view why, state::duration retry_after)
{
    log("refused", why);
    core_.metrics.add(forward_count::refused);
    note_outcome(kind == state::error_kind::may_have_run ? coordination::call_outcome::failed
                                                         : coordination::call_outcome::refused);
    auto const channel = channel_;
    finish();
    channel->refuse(kind, retry_after);
}

// -- ends -----------------------------------------------------------------------------------------

void forward_call::close_exchange()
{
    if (exchange_ != nullptr)
    {
        exchange_->cancel();
        exchange_ = nullptr;
    }
    drop_load(load_);
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
    timer_.cancel();
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
