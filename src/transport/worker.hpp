#pragma once

#include "answer_sink.hpp"
#include "metrics.hpp"
#include "net.hpp"

#include <plumdale/state/identifier.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <thread>
#include <unordered_map>

/// \file
/// \brief One thread with the callers that it serves.

namespace plumdale::transport
{

/// \brief A thread that runs an event loop, and the callers whose sockets it reads.
///
/// A caller's handle names its worker (`handle % worker count`), so that any thread can find the
/// loop to post an answer to.
class worker
{
public:
    worker(net::io_context& context, std::uint32_t index, std::uint32_t worker_count)
        : index_{index}, worker_count_{worker_count}, context_{context}
    {
    }

    [[nodiscard]] std::uint32_t index() const noexcept
    {
        return index_;
    }
    [[nodiscard]] net::io_context& context() noexcept
    {
        return context_;
    }

    /// \brief Returns what this worker measures. On its thread.
    [[nodiscard]] worker_metrics& metrics() noexcept
    {
        return metrics_;
    }

    /// \brief Starts the thread.
    void start();
    /// \brief Ends the loop and joins the thread.
    void stop();

    /// \brief Adds a caller; returns its handle. On this worker's thread.
    [[nodiscard]] state::caller_handle add_caller(std::shared_ptr<answer_sink> sink);
    /// \brief Removes a caller. On this worker's thread.
    void remove_caller(state::caller_handle caller);
    /// \brief Returns the caller, or null when it has left. On this worker's thread.
    [[nodiscard]] std::shared_ptr<answer_sink> find(state::caller_handle caller) const;

    /// \brief Ends the answer of every caller with an error. On this worker's thread.
    void interrupt_callers();

private:
    void measure_lag();

    std::uint32_t index_;
    std::uint32_t worker_count_;
    net::io_context& context_;
    net::executor_work_guard<net::io_context::executor_type> work_guard_{context_.get_executor()};
    std::thread thread_;
    net::steady_timer lag_timer_{context_};
    worker_metrics metrics_;
    std::uint64_t callers_added_ = 0;
    std::unordered_map<state::caller_handle, std::shared_ptr<answer_sink>> callers_;
};

} // namespace plumdale::transport
