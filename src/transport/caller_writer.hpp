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
    /// \brief Longest time in which a caller may take nothing.
    std::chrono::milliseconds stall_timeout;
};

/// \brief Told what becomes of what was written, on the connection's thread.
class writer_owner
{
public:
    writer_owner() = default;
    writer_owner(writer_owner const&) = delete;
    writer_owner& operator=(writer_owner const&) = delete;
    virtual ~writer_owner() = default;

    /// \brief More waits than the bound, or it has been sent.
    virtual void on_blocked(bool blocked) = 0;
    /// \brief So many bytes were sent.
    virtual void on_sent(std::size_t bytes) = 0;
    /// \brief Nothing waits any more.
    virtual void on_empty() = 0;
    /// \brief The connection ended, or the caller took nothing for too long.
    virtual void on_connection_failed() = 0;
    /// \brief Keeps the connection alive while a write is under way.
    [[nodiscard]] virtual std::shared_ptr<writer_owner> keep_alive() = 0;
};

/// \brief Sends text in order, several pieces at a time, and watches a caller that reads slowly.
class caller_writer
{
public:
    caller_writer(tcp::socket& socket, writer_limits limits, writer_owner& owner);

    /// \brief Returns the text that waits, to append to; `flush()` sends it.
    [[nodiscard]] std::string& pending() noexcept
    {
        return pending_;
    }
    /// \brief Sends what waits, unless a write is under way: then it follows that one.
    void flush();
    /// \brief Tells the owner when more waits than the bound.
    void check_buffer_limit();
    /// \brief Ends the watch over the caller; no write is begun any more.
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
