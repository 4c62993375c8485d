#include "end_question.hpp"

#include "boot_clock.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{

end_question::end_question(forward_core& core, subject asked, answer_handler on_answer)
    : core_{core}, subject_{std::move(asked)}, on_answer_{std::move(on_answer)}, timer_{
                                                                                     core.context}
{
}

void end_question::start()
{
    core_.metrics.add(forward_count::ends_asked);
    core_.log.write("call", "end asked", subject_.call,
                    {{"upstream", subject_.name}, {"unanswered", unanswered_}});
    core_.orders.send_to(subject_.member, subject_.address,
                         core_.dialect.report_request(subject_.name), timeout,
                         [self = shared_from_this()](state::result<fetch_answer> const& answer)
                         { self->on_result(answer); });
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
        return ask_again_in(
            std::max(core_.backoffs.left(subject_.member, boot_now()), repeat_delay));
    default:
        ++unanswered_;
        return unanswered_ < max_unanswered
                   ? ask_again_in(repeat_delay * (std::int64_t{1} << (unanswered_ - 1)))
                   : end(false, answer.error().detail);
    }
}

void end_question::ask_again_in(state::duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr)
            {
                self->start();
            }
        });
}

void end_question::end(bool lived_on, std::string_view why)
{
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
