#include "worker.hpp"

#include <utility>

namespace plumdale::transport
{
namespace
{

constexpr auto lag_interval = std::chrono::milliseconds{500};

} // namespace

void worker::start()
{
    measure_lag();
    thread_ = std::thread{[this]
                          {
                              context_.run();
                          }};
}

void worker::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void worker::measure_lag()
{
    lag_timer_.expires_after(lag_interval);
    lag_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                metrics_.loop_lag.add(std::chrono::steady_clock::now() - lag_timer_.expiry());
                measure_lag();
            }
        });
}

state::caller_handle worker::add_caller(std::shared_ptr<answer_sink> sink)
{
    state::caller_handle const caller{++callers_added_ * worker_count_ + index_};
    callers_.emplace(caller, std::move(sink));
    return caller;
}

void worker::remove_caller(state::caller_handle caller)
{
    callers_.erase(caller);
}

std::shared_ptr<answer_sink> worker::find(state::caller_handle caller) const
{
    auto const found = callers_.find(caller);
    return found == callers_.end() ? nullptr : found->second;
}

void worker::interrupt_callers()
{
    // Delivery removes the caller from the table, so the loop iterates over a copy.
    auto const callers = callers_;
    for (auto const& [caller, sink] : callers)
    {
        auto const kind =
            sink->has_started() ? state::error_kind::interrupted : state::error_kind::may_have_run;
        sink->deliver(coordination::send_refused{caller, kind, std::chrono::seconds{1}, {}, 0});
    }
}

} // namespace plumdale::transport
