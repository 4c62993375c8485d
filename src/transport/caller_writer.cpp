#include "caller_writer.hpp"

#include <boost/asio/write.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;

// Frees a large buffer, so that a stream that was blocked once does not keep it until it ends.
void release_memory(std::string& buffer)
{
    constexpr std::size_t max_kept_bytes = 4096;
    if (buffer.capacity() > max_kept_bytes)
    {
        std::string{}.swap(buffer);
    }
}

} // namespace

caller_writer::caller_writer(tcp::socket& socket, writer_limits limits, writer_owner& owner)
    : socket_{socket}, limits_{limits}, owner_{owner}, stall_timer_{socket.get_executor()}
{
}

void caller_writer::check_buffer_limit()
{
    if (!blocked_ && pending_.size() > limits_.buffer)
    {
        blocked_ = true;
        owner_.on_blocked(true);
    }
}

void caller_writer::flush()
{
    if (writing_ || pending_.empty())
    {
        return;
    }
    writing_ = true;
    sending_.clear();
    std::swap(sending_, pending_);
    watch_for_stall();
    net::async_write(socket_, net::buffer(sending_),
                     [this, alive = owner_.keep_alive()](error_code error, std::size_t bytes)
                     { on_written(error, bytes); });
}

void caller_writer::on_written(error_code error, std::size_t bytes)
{
    writing_ = false;
    ++write_count_;
    owner_.on_sent(bytes);
    if (error)
    {
        return owner_.on_connection_failed();
    }
    if (std::exchange(blocked_, false))
    {
        owner_.on_blocked(false);
    }
    if (!pending_.empty())
    {
        return flush();
    }
    release_memory(sending_);
    release_memory(pending_);
    owner_.on_empty();
}

// A caller that reads nothing would hold the connection and its buffers indefinitely. One timer per
// connection checks periodically whether a write has completed since the last check.
void caller_writer::watch_for_stall()
{
    if (std::exchange(is_stall_timer_armed_, true))
    {
        return;
    }
    stall_timer_.expires_after(limits_.stall_timeout);
    stall_timer_.async_wait(
        [this, weak = std::weak_ptr{owner_.keep_alive()}, seen = write_count_](error_code error)
        {
            auto const alive = weak.lock();
            if (error || alive == nullptr)
            {
                return;
            }
            is_stall_timer_armed_ = false;
            if (!writing_)
            {
                return;
            }
            write_count_ == seen ? owner_.on_connection_failed() : watch_for_stall();
        });
}

void caller_writer::close()
{
    stall_timer_.cancel();
}

} // namespace plumdale::transport
