#include "stream_call.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using namespace coordination;

constexpr unsigned success = 200;
constexpr std::uint32_t least_urgent_rank = 9;
} // namespace

stream_call::stream_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                         admitted_call admitted)
    : forward_call{core, std::move(channel), std::move(admitted)},
      last_progress_{admitted_.call.read_at}, failure_body_{core.answers_held}
{
    admitted_.demand.max_gap = admitted_.route->target_gap;
    admitted_.demand.objective = admitted_.route->target_latency;
    core_.departures.add_listener(*this);
}

stream_call::~stream_call()
{
    core_.departures.remove_listener(*this);
    cancel_stops();
    drop_backup();
    drop_load(copy_load_);
}

protocol::system_headers stream_call::make_system_headers(state::time_point now) const
{
    protocol::system_headers headers = forward_call::make_system_headers(now);
    headers.priority = std::min(rank(), least_urgent_rank);
    headers.resume_from = resume_from_;
    headers.backup = backup_address_;
    return headers;
}

caller_time stream_call::time_of_caller() const
{
    engine_pace const& pace = core_.selector.pace();
    state::duration const reading = pace.reading_time(admitted_.demand.prompt_tokens);
    std::uint32_t const batch = admitted_.service->engine ? admitted_.service->engine->batch : 1;
    return {admitted_.call.read_at, admitted_.deadline, silence_timeout(), reading,
            reading + pace.generating_time(admitted_.demand.output_tokens, batch)};
}

bool stream_call::is_ranked() const
{
    return admitted_.service->engine && !is_resumption();
}

waiting_call stream_call::waiting_place() const
{
    waiting_call place;
    place.service = state::id_from_name<state::service_key>(admitted_.service->name);
    place.rank = std::min(rank(), least_urgent_rank);
    place.customer = admitted_.customer != nullptr ? admitted_.customer->name : std::string{};
    place.route = state::stable_hash(admitted_.route->name);
    place.latest = latest_send_;
    place.run = time_of_caller().run;
    return place;
}

admission_limit stream_call::limit_for(selected_upstream const& best) const
{
    if (!admitted_.service->engine)
    {
        return admission_limit::none;
    }
    return coordination::limit_for(
        admitted_.route->target_latency,
        {best.fullness, best.growth_reserve, best.time_to_first_event, best.reading_before});
}

state::time_point stream_call::latest_send() const
{
    // What is larger than an upstream's memory fits nowhere, however long it waits.
    bool const fits = upstream_selector::memory_share(*admitted_.service, admitted_.demand) <= 1.0;
    return fits ? coordination::latest_send(time_of_caller()) : admitted_.call.read_at;
}

// -- events ---------------------------------------------------------------------------------------

void stream_call::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    protocol::message_head const first = head_;
    forward_call::on_head(head, framing);
    failure_body_.clear();
    bool const is_own = answer_.id == admitted_.headers.id;
    streaming_ = head.status == success && answer_.is_signed && !answer_.encoded && is_own;
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
        if (!failure_body_.append(bytes))
        {
            end_invalid_answer("body too large");
        }
        return;
    }
    core_.note_answered(member_);
    events_.append(bytes);
    forward_events();
    if (!finished_ && events_.buffered_bytes() + unsent_.size() > max_event_bytes)
    {
        end_invalid_answer("event too large");
    }
}

void stream_call::forward_events()
{
    std::uint32_t const events_before = events_forwarded_;
    while (auto event = events_.next())
    {
        if (progress_.take(*event))
        {
            events_forwarded_ += event->is_event ? 1 : 0;
            unsent_ += event->text;
        }
    }
    if (events_forwarded_ != events_before)
    {
        return send_events(events_forwarded_ - events_before);
    }
    // What comes before the first event waits for it: until then the answer may still be a refusal.
    if (begun_)
    {
        send_pieces();
    }
}

void stream_call::send_pieces()
{
    if (unsent_.empty())
    {
        return;
    }
    channel_->send_chunk(std::exchange(unsent_, {}));
    if (channel_->is_full())
    {
        pace_.interrupt();
        exchange_->pause(true);
    }
}

void stream_call::send_events(std::uint32_t events)
{
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
        core_.metrics.record_move_pause(now - last_progress_);
        core_.log.write("call", "resumed", admitted_.headers.id,
                        {{"upstream", member_name()},
                         {"pause_ms", whole_milliseconds(now - last_progress_)},
                         {"after_event", static_cast<std::int64_t>(progress_.last_id())}});
        failover_->resumed(now);
        release_repeats();
        cancel_stops();
        attempts_ = {};
        has_noted_no_destination_ = false;
        has_noted_no_retry_ = false;
        has_noted_stop_waits_ = false;
    }
    if (is_first_of_run)
    {
        ++run_;
        run_began_at_ = now;
        note_first_event(now);
        clear_pending_prefill();
        note_backup();
    }
    else
    {
        note_pace(events, now);
    }
    last_progress_ = now;
    prove_sound(now);
    begin_answer();
    send_pieces();
    update_loads();
    if (is_first_of_run)
    {
        check_departure();
    }
}

// -- speed ----------------------------------------------------------------------------------------

// A resumed run waited for its copy, and its upstream reads only what that lacks.
bool stream_call::shows_speed() const noexcept
{
    return core_.hints.speeds != nullptr && admitted_.service->engine && !resume_from_;
}

void stream_call::note_first_event(state::time_point now)
{
    if (!shows_speed())
    {
        return;
    }
    if (nominal_first_event_ >= min_measured_wait)
    {
        core_.speeds.note_first_event(member_,
                                      std::chrono::duration<double>(now - sent_at_) /
                                          std::chrono::duration<double>(nominal_first_event_),
                                      now);
    }
    pace_.begin(now);
}

void stream_call::note_pace(std::uint32_t events, state::time_point now)
{
    if (!shows_speed())
    {
        return;
    }
    member_load const load = core_.ledger.total(member_);
    double const token_ms =
        core_.selector.pace().token_ms(load.calls, load.pending_prefill_tokens != 0);
    double const expected_ms = token_ms * events * admitted_.service->engine->tokens_per_event;
    auto const ratio = pace_.add(std::chrono::duration_cast<state::duration>(
                                     std::chrono::duration<double, std::milli>{expected_ms}),
                                 now);
    if (ratio)
    {
        core_.speeds.note_pace(member_, *ratio, now);
    }
}

// A resumption processes only the tokens that its copy lacks.
std::uint32_t stream_call::pending_prefill_tokens() const
{
    return resume_from_ ? 0 : admitted_.demand.prompt_tokens;
}

void stream_call::clear_pending_prefill()
{
    if (load_.pending_prefill_tokens != 0)
    {
        core_.ledger.remove(load_.member, load_);
        load_.pending_prefill_tokens = 0;
        core_.ledger.add(load_.member, load_);
        announce_load(load_.member);
    }
}

std::uint32_t stream_call::tokens_held() const
{
    std::uint32_t const per_event =
        admitted_.service->engine ? admitted_.service->engine->tokens_per_event : 1;
    return admitted_.demand.prompt_tokens + events_forwarded_ * per_event;
}

void stream_call::begin_answer()
{
    if (!begun_)
    {
        begun_ = true;
        core_.metrics.record_answer_time(boot_now() - admitted_.call.read_at);
        channel_->begin(head_.status, head_.reason, answer_fields());
    }
}

void stream_call::update_loads()
{
    std::uint32_t const tokens = tokens_held();
    bool const is_due = events_forwarded_ % events_per_update == 0;
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

void stream_call::on_caller_ready()
{
    if (exchange_ != nullptr)
    {
        exchange_->pause(false);
    }
}

} // namespace plumdale::transport
