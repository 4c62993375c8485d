#include "caller_channel.hpp"

#include "boot_clock.hpp"

#include <plumdale/coordination/send_record.hpp>
#include <plumdale/protocol/peer_call.hpp>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdio>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using protocol::header_field;

// After the last answer the caller's bytes are read and discarded for this long: with unread bytes,
// closing would reset the connection and the caller could lose the answer.
constexpr state::duration linger_time = std::chrono::seconds{1};

protocol::http_reader new_reader(state::caller_limits const& limits)
{
    return {protocol::message_role::request, {limits.header_bytes, limits.body_bytes}};
}

std::string seconds_text(state::duration time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

constexpr std::array<std::string_view, 7> end_names{
    "open", "idle", "request timeout", "answered", "stalled", "lost", "stopped"};
// The caller's progress is looked at this often while bytes wait for it.
constexpr state::duration progress_check = std::chrono::milliseconds{50};
// Smaller answers are read within moments: they are looked at only when their limit is over, which
// spares a wake-up for each.
constexpr std::size_t long_read_bytes = 16UL * 1024;

/// \brief Returns the bytes that the system has not delivered yet; zero if it can't tell.
std::size_t undelivered_bytes(tcp::socket& socket)
{
    int bytes = 0;
    bool const is_known = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return is_known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

std::string_view to_text(channel_end why) noexcept
{
    return end_names[static_cast<std::size_t>(why)];
}

caller_channel::caller_channel(tcp::socket socket, std::function<channel_options()> options,
                               call_handler_factory start,
                               std::function<void(caller_channel&)> on_closed)
    : socket_{std::move(socket)}, current_options_{std::move(options)},
      make_handler_{std::move(start)}, on_closed_{std::move(on_closed)},
      timer_{socket_.get_executor()}, reader_{new_reader(current_options_().limits)}
{
}

void caller_channel::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    // It counts a caller that acknowledges and doesn't read, too, so it is no shorter than the
    // channel's own limit.
    auto const timeout = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(stall_timeout).count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    arm_timer(current_options_().limits.idle_timeout);
    read();
}

// -- reading --------------------------------------------------------------------------------------

void caller_channel::read()
{
    if (reading_ || stage_ == stage::closed || unparsed_.size() > max_read_ahead)
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(net::buffer(buffer_),
                            [self = shared_from_this()](error_code error, std::size_t bytes)
                            {
                                self->reading_ = false;
                                self->on_read(error, bytes);
                            });
}

void caller_channel::on_read(error_code error, std::size_t bytes)
{
    if (stage_ == stage::closed)
    {
        return;
    }
    if (error)
    {
        bool const is_answered = stage_ != stage::in_call && owed_bytes() != 0;
        return is_answered && error == net::error::eof ? deliver_rest() : on_connection_lost();
    }
    if (stage_ != stage::closing)
    {
        unparsed_.append(buffer_.data(), bytes);
    }
    if (stage_ == stage::idle || stage_ == stage::reading)
    {
        parse_input();
    }
    read();
}

// A caller that ends its sending side looks like one that has closed its connection. During a call
// it counts as gone, so that no upstream works for nobody; a whole answer costs no upstream, and is
// delivered.
void caller_channel::deliver_rest()
{
    stage_ = stage::closing;
    arm_timer(linger_time);
}

void caller_channel::parse_input()
{
    if (stage_ == stage::idle)
    {
        channel_options const options = current_options_();
        reader_ = new_reader(options.limits);
        stage_ = stage::reading;
        arm_timer(options.limits.header_timeout);
    }
    auto const progress = reader_.append(std::exchange(unparsed_, {}));
    if (progress == protocol::read_progress::malformed)
    {
        return refuse_malformed();
    }
    std::string const* const expect =
        progress == protocol::read_progress::body ? reader_.head().find("Expect") : nullptr;
    if (expect != nullptr && protocol::equals_ignore_case(*expect, "100-continue"))
    {
        pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    if (progress == protocol::read_progress::complete)
    {
        begin_call();
    }
}

void caller_channel::begin_call()
{
    stage_ = stage::in_call;
    has_begun_answer_ = false;
    timer_.cancel();
    unparsed_ = reader_.unconsumed();
    received_call call{reader_.head(), reader_.take_body(), boot_now()};
    std::string const* const connection = call.head.find("Connection");
    close_requested_ = connection != nullptr && protocol::has_token(*connection, "close");
    is_head_request_ = call.head.method == "HEAD";
    std::string const* const named = call.head.find(protocol::peer_call_field);
    peer_call_ = named == nullptr ? std::string{} : *named;
    // make_handler_ may answer the call before it returns, and the next call may begin.
    std::uint64_t const serial = ++call_count_;
    std::shared_ptr<call_handler> handler = make_handler_(shared_from_this(), std::move(call));
    bool const is_handed_over = handler_ != nullptr;
    if (stage_ == stage::in_call && serial == call_count_ && !is_handed_over)
    {
        handler_ = std::move(handler);
    }
}

void caller_channel::hand_over(std::shared_ptr<call_handler> handler)
{
    if (stage_ == stage::in_call)
    {
        handler_ = std::move(handler);
    }
}

// A begun answer that breaks off can't be taken for a whole one; a call without any needs an answer
// of its own.
void caller_channel::end_unanswered_call()
{
    if (auto const handler = has_begun_answer_ ? nullptr : handler_)
    {
        handler->on_process_ending();
    }
}

void caller_channel::refuse_malformed()
{
    stage_ = stage::in_call;
    close_requested_ = true;
    auto const kind = reader_.is_too_large() ? state::error_kind::request_too_large
                                             : state::error_kind::invalid_request;
    refuse(coordination::send_record{}.refusal_as(kind), state::duration::zero());
}

void caller_channel::on_connection_lost()
{
    auto const handler = std::exchange(handler_, nullptr);
    close(channel_end::lost);
    if (handler != nullptr)
    {
        handler->on_caller_disconnected();
    }
}

// -- answers --------------------------------------------------------------------------------------

void caller_channel::append_head(std::string_view origin, unsigned status, std::string_view reason,
                                 std::vector<header_field> const& fields)
{
    channel_options const options = current_options_();
    close_after_answer_ = close_requested_ || options.closing;
    pending_.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    pending_.append(reason).append("\r\n");
    // First, so that it can't be mistaken for a field of the upstream's.
    if (options.is_peer)
    {
        pending_.append(protocol::peer_answer_field).append(": ").append(origin).append("\r\n");
        pending_.append(protocol::peer_call_field).append(": ").append(peer_call_).append("\r\n");
    }
    for (header_field const& field : fields)
    {
        pending_.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (close_after_answer_)
    {
        pending_.append("Connection: close\r\n");
    }
}

void caller_channel::answer(unsigned status, std::string_view reason,
                            std::vector<header_field> const& fields, std::string_view body)
{
    answer_from(protocol::upstream_answer, status, reason, fields, body);
}

void caller_channel::answer_from(std::string_view origin, unsigned status, std::string_view reason,
                                 std::vector<header_field> const& fields, std::string_view body)
{
    if (stage_ != stage::in_call)
    {
        return;
    }
    append_head(origin, status, reason, fields);
    pending_.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    if (!is_head_request_)
    {
        pending_.append(body);
    }
    finish_call(!close_after_answer_);
}

void caller_channel::refuse(coordination::refusal const& answer, state::duration retry_delay)
{
    state::error_answer const& row = state::answer_for(answer.kind());
    std::vector<header_field> fields{{"Content-Type", "application/json"}};
    if (row.retry_after)
    {
        fields.push_back({"Retry-After", seconds_text(retry_delay)});
    }
    std::string body{R"({"error":")"};
    body.append(row.name).append(R"(","claim":")").append(state::claim_name(row.claim));
    body.append(R"(","message":")").append(row.message).append("\"}");
    answer_from(row.name, row.status, row.name, fields, body);
}

void caller_channel::begin(unsigned status, std::string_view reason,
                           std::vector<header_field> const& fields)
{
    has_begun_answer_ = true;
    append_head(protocol::upstream_answer, status, reason, fields);
    pending_.append("Transfer-Encoding: chunked\r\n\r\n");
    write();
}

void caller_channel::send_chunk(std::string_view bytes)
{
    if (bytes.empty() || stage_ != stage::in_call)
    {
        return;
    }
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    pending_.append(size.data()).append(bytes).append("\r\n");
    write();
}

void caller_channel::end()
{
    if (stage_ == stage::in_call)
    {
        pending_.append("0\r\n\r\n");
        finish_call(!close_after_answer_);
    }
}

void caller_channel::abort_answer()
{
    if (stage_ == stage::in_call)
    {
        finish_call(false);
    }
}

void caller_channel::finish_call(bool keep)
{
    handler_ = nullptr;
    stage_ = keep ? stage::idle : stage::closing;
    arm_timer(keep ? current_options_().limits.idle_timeout : linger_time);
    write();
    if (!keep)
    {
        return;
    }
    if (!unparsed_.empty())
    {
        parse_input();
    }
    read();
}

// -- writing --------------------------------------------------------------------------------------

void caller_channel::write()
{
    if (!sending_.empty() || stage_ == stage::closed)
    {
        return;
    }
    if (pending_.empty())
    {
        if (stage_ == stage::closing)
        {
            error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        }
        return;
    }
    sending_ = std::exchange(pending_, {});
    net::async_write(socket_, net::buffer(sending_),
                     [self = shared_from_this()](error_code error, std::size_t)
                     { self->on_written(error); });
}

void caller_channel::on_written(error_code error)
{
    if (stage_ == stage::closed)
    {
        return;
    }
    if (error)
    {
        return on_connection_lost();
    }
    sending_.clear();
    written_at_ = boot_now();
    write();
    if (handler_ != nullptr && !is_full())
    {
        auto const handler = handler_;
        handler->on_caller_ready();
    }
}

// -- timeouts and closing -------------------------------------------------------------------------

void caller_channel::arm_timer(state::duration time)
{
    limit_ = time;
    progress_at_ = boot_now();
    // A limit that is looked at only when it is over has run since the answer was queued.
    bool const is_long_read = owed_bytes() > long_read_bytes;
    was_awaiting_ = is_long_read;
    wait_for_timer(is_long_read ? std::min(time, progress_check) : time);
}

void caller_channel::wait_for_timer(state::duration time)
{
    timer_.expires_after(time);
    timer_.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self != nullptr)
            {
                self->on_timer();
            }
        });
}

bool caller_channel::awaits_reader()
{
    std::size_t const unread = owed_bytes() + undelivered_bytes(socket_);
    if (unread < unread_by_caller_)
    {
        progress_at_ = boot_now();
    }
    unread_by_caller_ = unread;
    return unread != 0;
}

// An answer belongs to its caller until the last byte is delivered: limits run from there. With the
// limit running from the moment at which the answer is queued, slow callers get a part of it.
void caller_channel::on_timer()
{
    if (stage_ == stage::in_call || stage_ == stage::closed)
    {
        return;
    }
    state::time_point const now = boot_now();
    if (awaits_reader())
    {
        was_awaiting_ = true;
        return now - progress_at_ >= stall_timeout ? close(channel_end::stalled)
                                                   : wait_for_timer(progress_check);
    }
    if (std::exchange(was_awaiting_, false))
    {
        progress_at_ = now;
    }
    now - progress_at_ >= limit_ ? close_at_limit() : wait_for_timer(limit_ - (now - progress_at_));
}

void caller_channel::close_at_limit()
{
    switch (stage_)
    {
    case stage::idle:
        return close(channel_end::idle);
    case stage::reading:
        return close(channel_end::request_timeout);
    default:
        return close(channel_end::answered);
    }
}

void caller_channel::close_now()
{
    close(channel_end::stopped);
    handler_ = nullptr;
}

void caller_channel::close(channel_end why)
{
    if (stage_ == stage::closed)
    {
        return;
    }
    stage_ = stage::closed;
    end_ = why;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    on_closed_(*this);
}

} // namespace plumdale::transport
