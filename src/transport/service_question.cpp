#include "service_question.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

// What HTTP has for a question that asks nothing of a resource; any answer will do.
fetch_request make_question(state::endpoint address)
{
    fetch_request question;
    question.address = address;
    question.method = "OPTIONS";
    question.target = "*";
    question.timeout = service_question::timeout;
    question.max_answer_bytes = 64ULL * 1024;
    return question;
}

} // namespace

service_question::service_question(net::io_context& context, state::endpoint address,
                                   answer_handler on_answer)
    : context_{context}, address_{address}, on_answer_{std::move(on_answer)}, timer_{context}
{
}

service_question::~service_question()
{
    for (fetch_canceller const& cancel : open_)
    {
        cancel();
    }
}

void service_question::ask()
{
    timer_.expires_after(std::exchange(pause_, std::min(2 * pause_, max_pause)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr && self->on_answer_ != nullptr)
            {
                self->ask();
            }
        });
    open_.push_back(fetch(context_, make_question(address_),
                          [weak = weak_from_this()](state::result<fetch_answer> const& answer)
                          {
                              auto const self = weak.lock();
                              if (self != nullptr && self->on_answer_ != nullptr)
                              {
                                  self->on_result(answer);
                              }
                          }));
}

// One that is lost is asked again in its turn; the earlier ones are still listened to.
void service_question::on_result(state::result<fetch_answer> const& answer)
{
    bool const is_refused = !answer && answer.error().kind == state::error_kind::connection_refused;
    if (answer || is_refused)
    {
        end(!is_refused);
    }
}

void service_question::end(bool lived_on)
{
    timer_.cancel();
    answer_handler const on_answer = std::exchange(on_answer_, nullptr);
    on_answer(lived_on);
}

} // namespace plumdale::transport
