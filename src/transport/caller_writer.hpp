#pragma once

#include "net.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

/// \file
/// \brief The sending side of one caller's connection.

namespace plumdale::transport
{

/// \brief Bounds on what waits to be sent.
struct writer_limits
{
    /// \brief Bytes waiting above which the upstream should be paused.
    std::uint32_t buffer;
    /// \brief Longest time in which a caller may read nothing.
    std::chrono::milliseconds stall_timeout;
};

/// \brief Receives the results of writes, on the connection's thread.
class writer_owner
{
public:
    writer_owner() = default;
    writer_owner(writer_owner const&) = delete;
    writer_owner& operator=(writer_owner const&) = delete;
    virtual ~writer_owner() = default;

    /// \brief Called with true when more bytes wait than the limit, with false when they have been
    /// sent.
    virtual void on_blocked(bool blocked) = 0;
    /// \brief Called after each write with the number of bytes that it sent.
    virtual void on_sent(std::size_t bytes) = 0;
    /// \brief Called when everything has been sent.
    virtual void on_empty() = 0;
    /// \brief Called when the connection has failed, or the caller has read nothing for too long.
    virtual void on_connection_failed() = 0;
    /// \brief Keeps the connection alive while a write is under way.
    [[nodiscard]] virtual std::shared_ptr<writer_owner> keep_alive() = 0;
};

/// \brief Sends text in order, several pieces per write, and detects a caller that reads slowly.
class caller_writer
{
public:
    caller_writer(tcp::socket& socket, writer_limits limits, writer_owner& owner);

    /// \brief Returns the unsent text for appending; `flush()` sends it.
    [[nodiscard]] std::string& pending() noexcept
    {
        return pending_;
    }
    /// \brief Sends the unsent text, or has it sent after the write that is in progress.
    void flush();
    /// \brief Notifies the owner when the unsent text exceeds the limit.
    void check_buffer_limit();
    /// \brief Stops stall detection. No write may begin afterwards.
    void close();

private:
    void on_written(boost::system::error_code error, std::size_t bytes);
    void watch_for_stall();

    tcp::socket& socket_;
    writer_limits limits_;
    writer_owner& owner_;
    net::steady_timer stall_timer_;
    std::uint32_t write_count_ = 0;
    bool writing_ = false;
    bool blocked_ = false;
    bool is_stall_timer_armed_ = false;
    std::string pending_;
    std::string sending_;
};

} // namespace plumdale::transport
