#include "end_question.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

constexpr std::chrono::milliseconds shortest{1};

} // namespace

end_question::end_question(forward_core& core, subject asked, state::time_point until,
                           answer_handler on_answer)
    : core_{core}, subject_{std::move(asked)}, until_{until},
      on_answer_{std::move(on_answer)}, timer_{core.context}
{
}

end_question::~end_question()
{
    for (fetch_canceller const& cancel : open_)
    {
        cancel();
    }
}

void end_question::start()
{
    ask();
}

void end_question::ask()
{
    state::duration const left = until_ - boot_now();
    core_.metrics.add(forward_count::ends_asked);
    core_.log.write("call", "end asked", subject_.call,
                    {{"upstream", subject_.name},
                     {"unanswered", asked_++},
                     {"left_ms", whole_milliseconds(left)}});
    ask_again_at(boot_now() + std::exchange(pause_, std::min(2 * pause_, max_pause)));
    open_.push_back(core_.orders.send_to(
        subject_.member, subject_.address, core_.dialect.report_request(subject_.name),
        std::max(std::chrono::ceil<std::chrono::milliseconds>(left), shortest),
        [weak = weak_from_this()](state::result<fetch_answer> const& answer)
        {
            auto const self = weak.lock();
            if (self != nullptr && !self->ended_)
            {
                self->on_result(answer);
            }
        }));
}

void end_question::on_result(state::result<fetch_answer> const& answer)
{
    if (answer)
    {
        bool const lived_on = shows_life(answer.value());
        return end(lived_on, lived_on ? "its process lives" : "another process, or one that ends");
    }
    switch (answer.error().kind)
    {
    case state::error_kind::connection_refused:
        return end(false, answer.error().detail);
    case state::error_kind::overloaded:
        // It asked for a back-off, and nothing was sent.
        return ask_again_at(
            boot_now() + std::max(core_.backoffs.left(subject_.member, boot_now()), first_pause));
    default:
        return ask_again_after_loss();
    }
}

// A process that is killed loses all that it was asked at once, and its port refuses the next one.
void end_question::ask_again_after_loss()
{
    state::time_point const at = boot_now() + pause_after_loss_;
    if (at < next_at_)
    {
        pause_after_loss_ = std::min(2 * pause_after_loss_, max_pause);
        ask_again_at(at);
    }
}

void end_question::ask_again_at(state::time_point at)
{
    next_at_ = at;
    if (at >= until_)
    {
        timer_.cancel();
        return;
    }
    timer_.expires_after(time_until(at));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr && !self->ended_)
            {
                // Calls are kept away from an upstream that may be gone.
                self->core_.probe_in_doubt(self->subject_.member);
                self->ask();
            }
        });
}

void end_question::end(bool lived_on, std::string_view why)
{
    ended_ = true;
    timer_.cancel();
    core_.log.write("call", "end answered", subject_.call,
                    {{"upstream", subject_.name}, {"why", why}});
    on_answer_(lived_on);
}

// Any answer shows that a process lives there; not whose it is, nor for how long.
bool end_question::shows_life(fetch_answer const& answer) const
{
    protocol::message_head head;
    head.status = answer.status;
    head.fields = answer.fields;
    if (core_.dialect.read_answer(head).misdirected)
    {
        return false;
    }
    auto const report = core_.dialect.read_report(answer.body);
    if (!report)
    {
        return true;
    }
    state::incarnation const stated = report.value().started;
    bool const is_other =
        subject_.started.value != 0 && stated.value != 0 && subject_.started != stated;
    auto const leaves_in = report.value().leaves_in;
    bool const may_be_ending = leaves_in && *leaves_in < last_moments;
    return !is_other && !may_be_ending;
}

} // namespace plumdale::transport
