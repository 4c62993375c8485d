#include "stream_call.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace plumdale::transport
{
namespace
{

using namespace coordination;

constexpr unsigned success = 200;
} // namespace

stream_call::stream_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                         admitted_call admitted)
    : forward_call{core, std::move(channel), std::move(admitted)}, last_progress_{
                                                                       admitted_.call.read_at}
{
    core_.departures.listen(*this);
}

stream_call::~stream_call()
{
    core_.departures.forget(*this);
    drop_backup();
    drop_load(copy_load_);
}

protocol::onward_terms stream_call::onward(state::time_point now) const
{
    protocol::onward_terms terms = forward_call::onward(now);
    constexpr std::uint32_t least_urgent = 9;
    std::uint32_t const rank = admitted_.customer != nullptr && admitted_.customer->priority
                                   ? *admitted_.customer->priority
                                   : admitted_.route->priority;
    terms.priority = std::min(rank, least_urgent);
    terms.resumed = resumed_;
    terms.backup = backup_address_;
    return terms;
}

generation_claim stream_call::claim(state::time_point now) const
{
    return {admitted_.demand.output_tokens,
            admitted_.returns,
            now - admitted_.call.read_at,
            admitted_.route->target_latency,
            patience(),
            member_choice::own_first_event(admitted_.demand)};
}

admission_limit stream_call::limit_for(chosen_member const& best, state::time_point now) const
{
    if (!admitted_.service->engine)
    {
        return admission_limit::none;
    }
    generation_claim const asks = claim(now);
    // The mean walks all upstreams; only those that yield depend on it.
    double const mean =
        yields_to_fresh(asks) ? core_.choice.mean_fullness(*admitted_.service, now) : 0.0;
    return coordination::limit_for(asks, {best.fullness, mean, best.first_event});
}

state::duration stream_call::longest_wait() const
{
    return coordination::longest_wait(claim(admitted_.call.read_at));
}

state::duration stream_call::come_back()
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    return come_back_after(admitted_.deadline - boot_now(), draw(core_.random));
}

// -- events ---------------------------------------------------------------------------------------

void stream_call::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    protocol::message_head const first = head_;
    forward_call::on_head(head, framing);
    failure_body_.clear();
    bool const is_own = answer_.id.empty() || answer_.id == admitted_.terms.id;
    streaming_ = head.status == success && answer_.sealed && !answer_.encoded && is_own;
    if (begun_)
    {
        // The caller has the first upstream's head; a resumption brings only events.
        head_ = first;
    }
}

void stream_call::on_body(std::string bytes)
{
    if (!streaming_)
    {
        failure_body_ += bytes;
        return;
    }
    events_.append(bytes);
    pass_events();
}

void stream_call::pass_events()
{
    std::string passed;
    while (auto event = events_.next())
    {
        // After a resumption an upstream may repeat what the caller has.
        if (event->id && *event->id <= last_event_ && begun_)
        {
            continue;
        }
        last_event_ = event->id.value_or(last_event_ + 1);
        ++events_passed_;
        passed += event->text;
    }
    if (passed.empty())
    {
        return;
    }
    state::time_point const now = boot_now();
    bool const is_first_of_run = resuming_ || !begun_;
    if (!begun_)
    {
        first_event_at_ = now;
    }
    else
    {
        longest_gap_ = std::max(longest_gap_, now - last_progress_);
    }
    if (resuming_)
    {
        resuming_ = false;
        core_.metrics.add(forward_count::resumed);
        core_.metrics.moved(now - last_progress_);
        core_.log.write("call", "resumed", admitted_.terms.id,
                        {{"upstream", member_name()},
                         {"pause_ms", whole_milliseconds(now - last_progress_)},
                         {"after_event", static_cast<std::int64_t>(last_event_)}});
        survival_->resumed(now);
    }
    if (is_first_of_run)
    {
        run_began_at_ = now;
        prompt_read();
        note_backup();
    }
    last_progress_ = now;
    begin_answer();
    channel_->send_part(passed);
    if (channel_->is_full())
    {
        exchange_->pause(true);
    }
    grow();
    if (is_first_of_run)
    {
        watch_departure();
    }
}

// A resumption reads only what its copy lacks.
std::uint32_t stream_call::unread() const
{
    return resumed_ ? 0 : admitted_.demand.prompt_tokens;
}

void stream_call::prompt_read()
{
    if (load_.unread != 0)
    {
        core_.ledger.remove(load_.member, load_);
        load_.unread = 0;
        core_.ledger.add(load_.member, load_);
        tell_load(load_.member);
    }
}

std::uint32_t stream_call::tokens_held() const
{
    std::uint32_t const per_event =
        admitted_.service->engine ? admitted_.service->engine->tokens_per_event : 1;
    return admitted_.demand.prompt_tokens + events_passed_ * per_event;
}

void stream_call::begin_answer()
{
    if (!begun_)
    {
        begun_ = true;
        core_.metrics.answered(boot_now() - admitted_.call.read_at);
        channel_->begin(head_.status, head_.reason, answer_fields());
    }
}

void stream_call::grow()
{
    std::uint32_t const tokens = tokens_held();
    bool const is_due = events_passed_ % events_per_update == 0;
    for (member_load* const load : {&load_, &backup_load_})
    {
        if (is_due && load->calls != 0)
        {
            core_.ledger.remove(load->member, *load);
            load->tokens = tokens;
            load->tokens_at_end = std::max(load->tokens_at_end, tokens);
            core_.ledger.add(load->member, *load);
        }
    }
}

void stream_call::caller_ready()
{
    if (exchange_ != nullptr)
    {
        exchange_->pause(false);
    }
}

// -- ends -----------------------------------------------------------------------------------------

std::optional<state::time_point> stream_call::runs_since() const
{
    bool const has_event = begun_ && !resuming_;
    return has_event ? std::optional{run_began_at_} : std::nullopt;
}

void stream_call::exchange_ended(exchange_end end)
{
    if (!resuming_)
    {
        return begun_ ? answer_ended(end) : forward_call::exchange_ended(end);
    }
    state::time_point const now = boot_now();
    survival_actions actions;
    if (end == exchange_end::whole && streaming_)
    {
        return end_whole();
    }
    bool const not_run = end == exchange_end::unreachable || end == exchange_end::not_sent ||
                         (end == exchange_end::whole && (answer_.not_run || answer_.misdirected));
    core_.metrics.add(forward_count::resume_refused);
    log("resumption failed", not_run ? "not run" : "broke");
    close_exchange();
    not_run ? survival_->resume_refused(now, actions) : survival_->source_ended(now, actions);
    apply(actions);
}

void stream_call::answer_ended(exchange_end end)
{
    if (end == exchange_end::whole && streaming_)
    {
        return end_whole();
    }
    if (end == exchange_end::whole && !begun_ && head_.status != success)
    {
        core_.health.note(member_, call_result::failed, boot_now());
        log("answered", "failed at the upstream");
        note_outcome(call_outcome::failed);
        auto const channel = channel_;
        exchange_ = nullptr;
        finish();
        return channel->answer(head_.status, head_.reason, answer_fields(), failure_body_);
    }
    source_ended(end == exchange_end::unconfirmed ? "stream of unknown length"
                                                  : "connection broke");
}

void stream_call::end_whole()
{
    core_.health.note(member_, call_result::good, boot_now());
    core_.metrics.add(forward_count::streams_whole);
    begin_answer();
    log_timing();
    note_outcome(is_on_time() ? call_outcome::on_time : call_outcome::late);
    survival_actions actions;
    if (survival_)
    {
        survival_->finished(actions);
    }
    apply(actions);
    auto const channel = channel_;
    exchange_ = nullptr;
    finish();
    channel->end();
}

bool stream_call::is_on_time() const
{
    bool const has_gap_objective = admitted_.route->target_gap > state::duration::zero();
    return first_event_at_ - admitted_.call.read_at <= admitted_.route->target_latency &&
           (!has_gap_objective || longest_gap_ <= admitted_.route->target_gap);
}

// The two figures that decide whether a stream was on time.
void stream_call::log_timing()
{
    core_.log.write(
        "call", "answered", admitted_.terms.id,
        {{"upstream", member_name()},
         {"request", protocol::to_hex(admitted_.request.value)},
         {"route", admitted_.route->name},
         {"first_event_ms", whole_milliseconds(first_event_at_ - admitted_.call.read_at)},
         {"objective_ms", whole_milliseconds(admitted_.route->target_latency)},
         {"longest_gap_ms", whole_milliseconds(longest_gap_)},
         {"gap_objective_ms", whole_milliseconds(admitted_.route->target_gap)},
         {"on_time", is_on_time() ? 1 : 0},
         {"events", events_passed_},
         {"comes_back", admitted_.returns ? 1 : 0},
         {"hinted_tokens", admitted_.demand.output_tokens},
         {"prompt_tokens", admitted_.demand.prompt_tokens},
         {"fullness_percent", static_cast<std::int64_t>(100.0 * best_.fullness)},
         {"expected_first_event_ms", whole_milliseconds(best_.first_event)},
         {"sent_after_ms", whole_milliseconds(first_send_at_ - admitted_.call.read_at)},
         {"age_ms", whole_milliseconds(boot_now() - admitted_.call.read_at)}});
}

void stream_call::source_ended(std::string_view why)
{
    log("source ended", why);
    close_exchange();
    survival_actions actions;
    survival().source_ended(boot_now(), actions);
    apply(actions);
}

void stream_call::break_off(std::string_view why)
{
    if (!begun_)
    {
        ++runs_;
        return refuse(state::error_kind::may_have_run, why);
    }
    log("broken off", why);
    note_outcome(call_outcome::failed);
    core_.metrics.add(forward_count::streams_broken);
    auto const channel = channel_;
    finish();
    channel->break_off();
}

void stream_call::caller_left()
{
    survival_actions actions;
    if (survival_)
    {
        survival_->finished(actions);
    }
    apply(actions);
    forward_call::caller_left();
}

// -- time -----------------------------------------------------------------------------------------

state::duration stream_call::patience() const
{
    return std::max({least_patience,
                     state::duration{patience_objectives * admitted_.route->target_latency},
                     state::duration{patience_gaps * admitted_.route->target_gap}});
}

state::time_point stream_call::next_deadline() const
{
    state::time_point const copies = survival_ ? survival_->next_deadline() : state::never;
    return std::min({forward_call::next_deadline(), copies, last_progress_ + patience()});
}

void stream_call::on_timer(state::time_point now)
{
    if (now >= last_progress_ + patience())
    {
        return time_over();
    }
    if (survival_)
    {
        survival_actions actions;
        survival_->advance(now, actions);
        apply(actions);
    }
    if (!finished_)
    {
        forward_call::on_timer(now);
    }
}

void stream_call::time_over()
{
    bool const sent = may_have_run() || (exchange_ != nullptr && exchange_->sent());
    if (sent || begun_)
    {
        return break_off("time is over");
    }
    refuse(state::error_kind::overloaded, "time is over");
}

} // namespace plumdale::transport
