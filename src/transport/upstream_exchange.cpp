#include "upstream_exchange.hpp"

#include "boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;

protocol::message_role role_for(bool without_body) noexcept
{
    return without_body ? protocol::message_role::answer_without_body
                        : protocol::message_role::answer;
}

} // namespace

std::string_view to_text(exchange_end end) noexcept
{
    static constexpr std::array<std::string_view, 7> words{
        "whole answer", "closed", "unreachable", "not sent", "broken", "lost", "invalid answer"};
    return words[static_cast<std::size_t>(end)];
}

upstream_exchange::upstream_exchange(net::io_context& context, upstream_pool& pool, options chosen,
                                     exchange_sink& sink)
    : context_{context}, pool_{pool}, options_{chosen}, sink_{&sink}, timer_{context},
      reader_{role_for(chosen.without_body), {head_limit, body_limit}}
{
}

void upstream_exchange::start()
{
    if (options_.max_idle > state::duration::zero())
    {
        socket_ = pool_.take(options_.member, options_.max_idle, boot_now());
    }
    reused_ = socket_ != nullptr;
    reused_ ? send() : connect();
}

void upstream_exchange::connect()
{
    socket_ = std::make_unique<tcp::socket>(context_);
    timer_.expires_after(connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && !self->sent_)
            {
                self->fail_to_connect(connection_failure::timed_out);
            }
        });
    if (error_code const error = open_from(*socket_, options_.source))
    {
        return fail_to_connect(connection_failure_of(error));
    }
    socket_->async_connect(to_tcp(options_.address),
                           [self = shared_from_this()](error_code error)
                           {
                               self->timer_.cancel();
                               if (self->sink_ == nullptr)
                               {
                                   return;
                               }
                               error ? self->fail_to_connect(connection_failure_of(error))
                                     : self->send();
                           });
}

void upstream_exchange::fail_to_connect(connection_failure failure)
{
    failure_ = failure;
    finish(exchange_end::unreachable);
}

void upstream_exchange::send()
{
    std::optional<std::string> request = sink_->request();
    if (!request)
    {
        return finish(exchange_end::not_sent);
    }
    error_code ignored;
    socket_->set_option(tcp::no_delay{true}, ignored);
    set_delivery_limit(socket_->native_handle(), path_timeout);
    request_ = std::move(*request);
    sent_ = true;
    net::async_write(*socket_, net::buffer(request_),
                     [self = shared_from_this()](error_code error, std::size_t)
                     {
                         // A failed write also ends the reading, after any answer that the upstream
                         // sent before it read everything.
                         self->write_error_ = error;
                         self->written_ = !error;
                     });
    if (request_.size() > watched_request_bytes)
    {
        watch_delivery();
    }
    read();
}

void upstream_exchange::watch_delivery()
{
    timer_.expires_after(delivery_check);
    timer_.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error && self->sink_ != nullptr)
            {
                self->check_delivery();
            }
        });
}

void upstream_exchange::check_delivery()
{
    int const socket = socket_->native_handle();
    delivery const seen = delivery_.look(socket, boot_now());
    if (seen == delivery::path_lost)
    {
        return finish(exchange_end::lost);
    }
    if (seen == delivery::underway)
    {
        // From here on it is the watch that notices a lost path.
        set_delivery_limit(socket, unread_timeout);
    }
    if (!written_ || seen == delivery::underway)
    {
        watch_delivery();
    }
}

void upstream_exchange::read()
{
    if (reading_ || paused_ || sink_ == nullptr)
    {
        return;
    }
    reading_ = true;
    socket_->async_read_some(net::buffer(buffer_),
                             [self = shared_from_this()](error_code error, std::size_t bytes)
                             {
                                 self->reading_ = false;
                                 if (self->sink_ != nullptr)
                                 {
                                     self->on_read(error, bytes);
                                 }
                             });
}

void upstream_exchange::on_read(error_code error, std::size_t bytes)
{
    if (bytes > 0)
    {
        append_bytes({buffer_.data(), bytes});
    }
    if (sink_ == nullptr)
    {
        return;
    }
    if (!error)
    {
        return read();
    }
    error = end_of_connection(error);
    bool const in_order = error == net::error::eof;
    if (in_order && reader_.append_eof() == protocol::read_progress::complete)
    {
        report_progress();
        if (sink_ != nullptr)
        {
            finish(exchange_end::closed);
        }
        return;
    }
    bool const by_upstream =
        in_order || error == net::error::connection_reset || error == net::error::broken_pipe;
    finish(by_upstream ? exchange_end::broken : exchange_end::lost);
}

// The system reports a reset or a lost path once: if a write is told, the next read finds an end
// that looks like one in order. A write to a connection that was closed in order before it was
// reset is told of a broken pipe instead.
error_code upstream_exchange::end_of_connection(error_code read_error) const noexcept
{
    bool const is_told_by_write = write_error_ && write_error_ != net::error::broken_pipe;
    return read_error == net::error::eof && is_told_by_write ? write_error_ : read_error;
}

void upstream_exchange::append_bytes(std::string_view bytes)
{
    reader_.append(bytes);
    report_progress();
    if (sink_ != nullptr && reader_.progress() == protocol::read_progress::malformed)
    {
        return finish(exchange_end::invalid);
    }
    if (sink_ != nullptr && reader_.progress() == protocol::read_progress::complete)
    {
        finish(exchange_end::complete);
    }
}

void upstream_exchange::report_progress()
{
    using enum protocol::read_progress;
    bool const has_head = reader_.progress() == body || reader_.progress() == complete;
    if (has_head && !head_reported_)
    {
        head_reported_ = true;
        sink_->on_head(reader_.head(), reader_.framing());
    }
    if (sink_ != nullptr && head_reported_)
    {
        if (std::string arrived = reader_.take_body(); !arrived.empty())
        {
            sink_->on_body(std::move(arrived));
        }
    }
}

void upstream_exchange::finish(exchange_end end)
{
    exchange_sink* const sink = std::exchange(sink_, nullptr);
    timer_.cancel();
    // Bytes after the answer belong to no call, and an upstream that answered before it read the
    // whole body is still reading it: neither connection may carry another call.
    bool const reusable = end == exchange_end::complete && options_.keep && written_ && !closes_ &&
                          reader_.unconsumed().empty();
    if (reusable)
    {
        pool_.keep(options_.member, std::move(*socket_),
                   keep_alive_.value_or(upstream_pool::default_keep_alive), boot_now());
    }
    else if (socket_ != nullptr)
    {
        error_code ignored;
        socket_->close(ignored);
    }
    if (sink != nullptr)
    {
        sink->on_end(end);
    }
}

void upstream_exchange::cancel()
{
    sink_ = nullptr;
    timer_.cancel();
    if (socket_ != nullptr)
    {
        error_code ignored;
        socket_->close(ignored);
    }
}

void upstream_exchange::pause(bool paused)
{
    paused_ = paused;
    if (!paused && sent_)
    {
        read();
    }
}

void upstream_exchange::keep_alive(std::optional<state::duration> time, bool closes)
{
    keep_alive_ = time;
    closes_ = closes;
}

} // namespace plumdale::transport
