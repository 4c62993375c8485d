#include "call_through_peer.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/coordination/retry_delay.hpp>
#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/generation_text.hpp>
#include <plumdale/protocol/peer_call.hpp>

#include <boost/asio/io_context.hpp>

#include <charconv>
#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using coordination::peer_refusal;
using state::error_kind;

std::optional<state::duration> seconds_in(std::string const* text)
{
    double value = 0.0;
    if (text == nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{value});
}

/// \brief Returns why a peer took no call, if the error says so.
std::optional<peer_refusal> decline_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::peer_declined:
        return peer_refusal::declined;
    case error_kind::peer_out_of_step:
        return peer_refusal::out_of_step;
    case error_kind::peer_at_capacity:
        return peer_refusal::at_capacity;
    default:
        return std::nullopt;
    }
}

} // namespace

call_through_peer::call_through_peer(forward_core& core, std::shared_ptr<caller_channel> channel,
                                     admitted_call admitted, std::vector<state::node_id> peers)
    : core_{core}, channel_{std::move(channel)}, admitted_{std::move(admitted)},
      timer_{core.context}, peers_{std::move(peers)}, sends_{admitted_.origin.possible_runs},
      body_{core.answers_held}
{
    ++core_.calls_in_progress;
    ++core_.calls_through_peers;
}

call_through_peer::~call_through_peer()
{
    finish();
}

void call_through_peer::start()
{
    timer_.expires_after(time_until(admitted_.deadline + answer_margin));
    timer_.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr && !self->finished_)
            {
                self->on_deadline();
            }
        });
    ask_next();
}

// -- asking ---------------------------------------------------------------------------------------

void call_through_peer::ask_next()
{
    state::time_point const now = boot_now();
    if (!may_send_before_stop(core_, admitted_, now))
    {
        return refuse_draining();
    }
    auto const peer =
        asked_.size() < max_peers ? core_.peers.choose(peers_, asked_, now) : std::nullopt;
    if (!peer || now >= admitted_.deadline)
    {
        return refuse_unsent(peer ? "time is over" : "no peer takes it");
    }
    peer_ = *peer;
    asked_.push_back(peer->node);
    refusal_.reset();
    is_own_answer_ = false;
    body_.clear();
    sends_.begin(state::member_key{peer->node.value});
    upstream_exchange::options options;
    options.member = state::member_key{peer->node.value};
    options.address = peer->streams;
    options.max_idle = max_idle;
    exchange_ = std::make_shared<upstream_exchange>(core_.context, core_.peer_pool, options, *this);
    exchange_->start();
}

std::optional<std::string> call_through_peer::request()
{
    state::time_point const now = boot_now();
    bool const is_refused =
        !admitted_.origin.is_trial && core_.quarantine.refuses(admitted_.content());
    if (now >= admitted_.deadline || is_refused || !may_send_before_stop(core_, admitted_, now))
    {
        return std::nullopt;
    }
    protocol::peer_call call;
    call.configuration = admitted_.table->configuration().version;
    call.age = now - admitted_.call.read_at;
    call.possible_runs = admitted_.origin.possible_runs;
    call.is_counted = admitted_.origin.is_counted;
    call.head = admitted_.call.head;
    call.body = admitted_.call.body;
    std::string const body = protocol::encode(call, core_.settings.fleet_key);
    core_.on_call_bytes(body.size());
    sends_.note_written();
    log("sent to a peer", {});
    std::string text = "POST ";
    text.append(protocol::peer_call_target).append(" HTTP/1.1\r\nHost: plumdale\r\n");
    text.append(protocol::peer_call_field).append(": ").append(admitted_.headers.id);
    text.append("\r\nContent-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n\r\n").append(body);
}

// -- answers --------------------------------------------------------------------------------------

void call_through_peer::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    head_ = head;
    std::string const* const connection = head.find("Connection");
    std::string const* const origin = head.find(protocol::peer_answer_field);
    std::string const* const call = head.find(protocol::peer_call_field);
    is_own_answer_ = origin != nullptr && call != nullptr && *call == admitted_.headers.id;
    bool const closes = connection != nullptr && protocol::has_token(*connection, "close");
    exchange_->keep_alive(std::nullopt, closes || !is_own_answer_);
    if (!is_own_answer_)
    {
        return;
    }
    if (*origin != protocol::upstream_answer)
    {
        state::error_answer const* const row = state::find_answer(*origin);
        refusal_ = row == nullptr ? error_kind::may_have_run : row->kind;
    }
    else if (framing == protocol::body_framing::chunked)
    {
        begun_ = true;
        core_.metrics.record_answer_time(boot_now() - admitted_.call.read_at);
        channel_->begin(head.status, head.reason, answer_fields());
    }
}

void call_through_peer::on_body(std::string bytes)
{
    if (!begun_)
    {
        if (!body_.append(bytes))
        {
            fail("answer of the peer too large");
        }
        return;
    }
    channel_->send_chunk(bytes);
    if (channel_->is_full())
    {
        exchange_->pause(true);
    }
}

void call_through_peer::on_caller_ready()
{
    if (exchange_ != nullptr)
    {
        exchange_->pause(false);
    }
}

void call_through_peer::on_end(exchange_end end)
{
    // Forwarding the end releases the channel's reference to this call.
    auto const self = shared_from_this();
    record_end(end);
    if (end == exchange_end::unreachable)
    {
        return peer_refused(peer_refusal::unreachable);
    }
    if (end == exchange_end::not_sent)
    {
        return may_send_before_stop(core_, admitted_, boot_now())
                   ? refuse_unsent("not sent after all")
                   : refuse_draining();
    }
    if (end != exchange_end::complete || !is_own_answer_)
    {
        return fail(is_own_answer_ ? "peer broke off" : "no answer of the peer to this call");
    }
    if (!refusal_)
    {
        return forward_answer();
    }
    if (auto const declined = decline_of(*refusal_))
    {
        return peer_refused(*declined);
    }
    forward_refusal(*refusal_);
}

void call_through_peer::record_end(exchange_end end)
{
    coordination::exchange_evidence seen;
    seen.is_written = end != exchange_end::unreachable && end != exchange_end::not_sent;
    seen.is_whole = end == exchange_end::complete;
    seen.has_own_id = is_own_answer_;
    seen.states_not_run = refusal_ && coordination::states_not_run(*refusal_);
    sends_.end(coordination::proof_in(seen));
}

void call_through_peer::peer_refused(peer_refusal why)
{
    core_.peers.refused(peer_.node, why, boot_now());
    core_.metrics.add(forward_count::peers_declined);
    log("peer passed over", why == peer_refusal::unreachable ? "unreachable" : "declined");
    ask_next();
}

void call_through_peer::forward_answer()
{
    core_.metrics.add(forward_count::calls_through_peers);
    log("answered by a peer", {});
    auto const channel = channel_;
    exchange_ = nullptr;
    finish();
    if (begun_)
    {
        return channel->end();
    }
    core_.metrics.record_answer_time(boot_now() - admitted_.call.read_at);
    channel->answer(head_.status, head_.reason, answer_fields(), body_.text());
}

void call_through_peer::forward_refusal(error_kind kind)
{
    exchange_ = nullptr;
    refuse(kind, "by the peer", seconds_in(head_.find("Retry-After")).value_or(retry_after()));
}

std::vector<protocol::header_field> call_through_peer::answer_fields() const
{
    std::vector<protocol::header_field> fields;
    for (protocol::header_field const& field : head_.fields)
    {
        bool const is_between_peers =
            protocol::is_hop_by_hop(head_, field.name) ||
            protocol::equals_ignore_case(field.name, protocol::peer_answer_field);
        if (!is_between_peers)
        {
            fields.push_back(field);
        }
    }
    return fields;
}

// -- ends -----------------------------------------------------------------------------------------

state::duration call_through_peer::retry_after()
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    return coordination::draw_retry_after(admitted_.deadline - boot_now(), state::duration::zero(),
                                          draw(core_.random));
}

void call_through_peer::refuse_unsent(std::string_view why)
{
    note_outcome(coordination::call_outcome::refused);
    refuse(error_kind::no_upstream, why, retry_after());
}

void call_through_peer::on_process_ending()
{
    refuse_draining();
}

void call_through_peer::refuse_draining()
{
    note_outcome(coordination::call_outcome::refused);
    refuse(error_kind::draining, shutting_down, draining_retry_after(core_, admitted_));
}

void call_through_peer::refuse(error_kind kind, std::string_view why, state::duration retry_after)
{
    coordination::refusal const answer = sends_.refusal_as(kind);
    log("refused", why, state::answer_for(answer.kind()).name);
    core_.metrics.add(forward_count::refused);
    auto const channel = channel_;
    finish();
    channel->refuse(answer, retry_after);
}

void call_through_peer::fail(std::string_view why, coordination::cut_cause cause)
{
    note_outcome(coordination::call_outcome::failed);
    if (!begun_)
    {
        return refuse(error_kind::may_have_run, why, retry_after());
    }
    log("broken off", why);
    core_.metrics.add_cut(cause);
    auto const channel = channel_;
    finish();
    channel->abort_answer();
}

// Answers and refusals of the peer are counted there.
void call_through_peer::note_outcome(coordination::call_outcome outcome)
{
    core_.outcomes.note(admitted_.route->name, outcome);
}

void call_through_peer::on_deadline()
{
    sends_.prove_never_ran() ? refuse_unsent("time is over")
                             : fail("time is over", coordination::cut_cause::caller_time);
}

void call_through_peer::on_caller_disconnected()
{
    core_.metrics.add(forward_count::callers_left);
    log("caller left", {});
    note_outcome(coordination::call_outcome::caller_disconnected);
    finish();
}

void call_through_peer::finish()
{
    if (finished_)
    {
        return;
    }
    finished_ = true;
    --core_.calls_in_progress;
    --core_.calls_through_peers;
    timer_.cancel();
    if (exchange_ != nullptr)
    {
        exchange_->cancel();
    }
}

void call_through_peer::log(std::string_view decision, std::string_view why, std::string_view error)
{
    state::time_point const now = boot_now();
    core_.log.write("call", decision, admitted_.headers.id,
                    {{"why", why},
                     {"request", protocol::to_hex(admitted_.request.value)},
                     {"route", admitted_.route->name},
                     {"peer", protocol::to_text(peer_.streams)},
                     {"peers_asked", static_cast<std::int64_t>(asked_.size())},
                     {"status", static_cast<std::int64_t>(head_.status)},
                     {"may_have_run", sends_.possible_runs()},
                     {"proof", coordination::to_text(sends_.newest_proof())},
                     {"error", error},
                     {"age_ms", whole_milliseconds(now - admitted_.call.read_at)},
                     {"left_ms", whole_milliseconds(admitted_.deadline - now)}});
}

} // namespace plumdale::transport
