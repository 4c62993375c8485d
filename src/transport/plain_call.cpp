#include "plain_call.hpp"

#include "boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

constexpr unsigned first_success = 200;
constexpr unsigned first_failure = 300;

} // namespace

plain_call::plain_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                       admitted_call admitted)
    : forward_call{core, std::move(channel), std::move(admitted)}, body_{core.answers_held}
{
}

void plain_call::on_head(protocol::message_head const& head, protocol::body_framing framing)
{
    // The body of a discarded answer must not precede this one's.
    body_.clear();
    forward_call::on_head(head, framing);
}

void plain_call::on_body(std::string bytes)
{
    if (!body_.append(bytes))
    {
        end_invalid_answer("body too large");
    }
}

// A process that is killed within its answer closes the connection in order, too.
void plain_call::on_closed()
{
    if (!is_success())
    {
        return conclude(exchange_end::complete);
    }
    ask_whether_it_lives(admitted_.deadline, [this](bool lived_on)
                         { conclude(lived_on ? exchange_end::complete : exchange_end::broken); });
}

void plain_call::answer_ended(exchange_end end)
{
    if (end != exchange_end::complete)
    {
        body_.clear();
        return retry_or_refuse("connection broke");
    }
    if (is_success() && (!answer_.is_signed || answer_.encoded))
    {
        core_.metrics.add(forward_count::answers_discarded);
        return retry_or_refuse("answer without a signature");
    }
    if (has_unfounded_promise())
    {
        return retry_or_refuse("refusal without a statement that it did not run");
    }
    if (!is_success() && may_send_again())
    {
        return retry_or_refuse("failed at the upstream");
    }
    core_.health.note(
        member_, is_success() ? coordination::call_result::good : coordination::call_result::failed,
        boot_now());
    deliver_answer();
}

bool plain_call::is_success() const
{
    return head_.status >= first_success && head_.status < first_failure;
}

bool plain_call::may_send_again() const
{
    return is_idempotent() && sends_.may_send_again(true, admitted_.route->max_attempts) &&
           may_send_before_stop(core_, admitted_, boot_now());
}

void plain_call::deliver_answer()
{
    core_.metrics.add(forward_count::answered);
    core_.metrics.record_answer_time(boot_now() - admitted_.call.read_at);
    log("answered", {});
    bool const in_time = boot_now() - admitted_.call.read_at <= admitted_.route->target_latency;
    note_outcome(!is_success() ? coordination::call_outcome::failed
                 : in_time     ? coordination::call_outcome::on_time
                               : coordination::call_outcome::late);
    auto const channel = channel_;
    exchange_ = nullptr;
    finish();
    channel->answer(head_.status, head_.reason, answer_fields(), body_.text());
}

// Each send that the route allows has an equal part of the time that its caller has: an upstream
// that is silent for longer takes the time in which another could answer. Where a stop leaves no
// time for another, its answer is all that can come.
state::time_point plain_call::slow_at() const
{
    bool const is_answering = exchange_ != nullptr && !is_connecting_;
    bool const waits = (is_answering || is_end_asked()) && may_send_again();
    if (!waits)
    {
        return state::never;
    }
    // This send and those that may follow; `may_send_again` says that there are some.
    std::uint32_t const runs_left = admitted_.route->max_attempts - sends_.possible_runs() + 1;
    return sent_at_ + (admitted_.deadline - sent_at_) / runs_left;
}

state::time_point plain_call::next_deadline() const
{
    return std::min(forward_call::next_deadline(), slow_at());
}

void plain_call::on_timer(state::time_point now)
{
    if (now >= slow_at())
    {
        drop_end_question();
        return retry_or_refuse("no answer in time");
    }
    forward_call::on_timer(now);
}

void plain_call::on_timeout()
{
    refuse(state::error_kind::overloaded, "time is over");
}

} // namespace plumdale::transport
