#include "end_question.hpp"

#include "boot_clock.hpp"

#include <plumdale/coordination/generation_failover.hpp>

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
        bool const lived_on = is_same_process(answer.value());
        return end(lived_on, lived_on ? "its process lives" : "another process");
    }
    switch (answer.error().kind)
    {
    case state::error_kind::connection_refused:
        return end(false, answer.error().detail);
    case state::error_kind::overloaded:
        // It asked for a back-off, and nothing was sent.
        return ask_after_backoff();
    default:
        return ++unanswered_ < max_unanswered ? start() : end(false, answer.error().detail);
    }
}

void end_question::ask_after_backoff()
{
    timer_.expires_after(std::max(core_.backoffs.left(subject_.member, boot_now()),
                                  coordination::generation_failover::copy_retry_delay));
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

// Any answer shows that a process lives there; not whose it is.
bool end_question::is_same_process(fetch_answer const& answer) const
{
    protocol::message_head head;
    head.status = answer.status;
    head.fields = answer.fields;
    if (core_.dialect.read_answer(head).misdirected)
    {
        return false;
    }
    auto const report = core_.dialect.read_report(answer.body);
    bool const is_later =
        report && subject_.started.value != 0 && subject_.started < report.value().started;
    return !is_later;
}

} // namespace plumdale::transport
