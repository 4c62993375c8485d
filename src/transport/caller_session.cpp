#include "caller_session.hpp"

#include "answer_meter.hpp"
#include "beast_request_view.hpp"
#include "caller_text.hpp"
#include "caller_writer.hpp"
#include "clock.hpp"

#include <plumdale/protocol/caller_codec.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

namespace plumdale::transport
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;

constexpr std::size_t initial_read_bytes = 2048;

class caller_session final : public answer_sink,
                             private writer_owner,
                             public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(worker& caller_worker, session_context& context, tcp::socket socket)
        : own_worker_{caller_worker}, context_{context}, meter_{caller_worker.metrics()},
          socket_{std::move(socket)}, writer_{socket_.socket(),
                                              {context.limits.buffer, context.limits.stall_timeout},
                                              *this},
          buffer_{context.limits.header + context.limits.body}
    {
        ++own_worker_.metrics().counts.connections;
    }

    void read_request()
    {
        parser_.emplace();
        parser_->header_limit(context_.limits.header);
        parser_->body_limit(context_.limits.body);
        if (buffer_.size() > 0)
        {
            return read_header();
        }
        socket_.expires_after(context_.limits.keep_alive_timeout);
        socket_.async_read_some(buffer_.prepare(initial_read_bytes),
                                [self = shared_from_this()](error_code error, std::size_t bytes)
                                {
                                    self->buffer_.commit(bytes);
                                    error ? self->close_connection() : self->read_header();
                                });
    }

    [[nodiscard]] bool has_started() const noexcept override
    {
        return head_sent_;
    }

    void deliver(coordination::send_head const& head) override
    {
        // Only a streamed answer sends its head separately; any other sends it with its body.
        if (streamed_ && !std::exchange(head_sent_, true))
        {
            append_stream_head(writer_.pending(), head, closing_);
            writer_.flush();
        }
    }

    void deliver(coordination::send_token const& token) override
    {
        meter_.record_token(now());
        append_chunk(
            writer_.pending(),
            protocol::token_event({token.generation, token.upstream, token.index}, token.text));
        writer_.check_buffer_limit();
        writer_.flush();
    }

    void deliver(coordination::send_finished const& finished) override
    {
        meter_.record_whole(now());
        if (head_sent_)
        {
            append_chunk(writer_.pending(), protocol::done_event());
            return finish_stream();
        }
        answer({finished.status, body_type, finished.generation, {}, closing_},
               answer_body(finished));
    }

    void deliver(coordination::send_refused const& refused) override
    {
        refuse({refused.kind, {}, refused.retry_after, refused.generation, refused.next_index});
    }

private:
    static constexpr std::string_view body_type = "application/json";

    // -- reading ------------------------------------------------------------------------------

    // A head that arrives byte by byte holds a connection, so the time for the whole head is
    // bounded.
    void read_header()
    {
        socket_.expires_after(context_.limits.read_timeout);
        http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code error, std::size_t)
                                { error ? self->on_malformed(error) : self->read_body(); });
    }

    void read_body()
    {
        socket_.expires_after(context_.limits.read_timeout);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code error, std::size_t)
                         { error ? self->on_malformed(error) : self->handle_request(); });
    }

    void on_malformed(error_code error)
    {
        bool const is_http_error =
            error.category() == http::make_error_code(http::error::bad_method).category();
        if (!is_http_error || error == http::error::end_of_stream ||
            error == http::error::partial_message)
        {
            return close_connection();
        }
        ++own_worker_.metrics().counts.malformed;
        closing_ = true;
        bool const large = error == http::error::body_limit || error == http::error::header_limit ||
                           error == http::error::buffer_overflow;
        refuse({large ? state::error_kind::request_too_large : state::error_kind::invalid_request,
                error.message(),
                {},
                {},
                0});
    }

    void handle_request()
    {
        socket_.expires_never();
        auto const& request = parser_->get();
        closing_ = !request.keep_alive();
        head_sent_ = false;
        protocol::http_request_view const message = make_request_view(request);
        page_request const requested_page{message.method, message.target, message.authorization,
                                          message.body};
        bool const is_page =
            context_.pages(requested_page,
                           [self = shared_from_this()](page made)
                           {
                               net::post(self->own_worker_.context(), [self, made = std::move(made)]
                                         { self->answer_page(made); });
                           });
        if (!is_page)
        {
            handle_generation(message);
        }
    }

    void answer_page(page const& made)
    {
        answer({made.status, made.type, {}, {}, closing_}, made.body);
    }

    void handle_generation(protocol::http_request_view const& message)
    {
        auto decoded = protocol::decode_request(message, now());
        if (!decoded)
        {
            meter_.begin({}, false, now());
            return refuse({decoded.error().kind, decoded.error().detail, {}, {}, 0});
        }
        state::request& request = decoded.value();
        begin_meter(request);
        is_call_ = request.kind == state::work_kind::call;
        op_ = request.op;
        streamed_ =
            request.streamed && (op_ == state::operation::run || op_ == state::operation::attach);
        parser_.reset();
        handle_ = own_worker_.add_caller(shared_from_this());
        shard_ = context_.requests.receive({handle_, std::move(request), {}}, own_worker_.index());
        watch_for_disconnect();
    }

    void begin_meter(state::request const& request)
    {
        state::customer const* const customer =
            context_.fleet.current().find_customer(request.api_key);
        bool const counted = request.op == state::operation::run && customer != nullptr;
        meter_.begin({request.model, counted ? customer->id : state::customer_id{}}, counted,
                     now());
    }

    // While an answer is pending, the end of the connection must be detected, or an engine would go
    // on working for a caller that has disconnected. Bytes of the next request are kept, up to the
    // header limit; beyond it the connection is no longer watched, and its end is seen when a write
    // fails.
    void watch_for_disconnect()
    {
        if (std::exchange(watching_, true))
        {
            return;
        }
        socket_.socket().async_wait(tcp::socket::wait_read,
                                    [self = shared_from_this()](error_code error)
                                    { self->on_readable(error); });
    }

    void on_readable(error_code error)
    {
        watching_ = false;
        if (!handle_)
        {
            return;
        }
        error_code failed = error;
        std::size_t const available_bytes = failed ? 0 : socket_.socket().available(failed);
        if (failed || available_bytes == 0)
        {
            return on_caller_disconnected();
        }
        if (buffer_.size() + available_bytes > context_.limits.header)
        {
            closing_ = true;
            return;
        }
        buffer_.commit(socket_.socket().read_some(buffer_.prepare(available_bytes), failed));
        failed ? on_caller_disconnected() : watch_for_disconnect();
    }

    void on_caller_disconnected()
    {
        if (handle_)
        {
            meter_.record_disconnect(now());
            context_.requests.post(shard_, coordination::caller_disconnected{handle_});
            unregister_caller();
        }
        close_connection();
    }

    // -- writing ------------------------------------------------------------------------------

    void on_blocked(bool blocked) override
    {
        if (!handle_)
        {
            return;
        }
        if (blocked)
        {
            ++own_worker_.metrics().counts.callers_blocked;
            return context_.requests.post(shard_, coordination::caller_blocked{handle_});
        }
        context_.requests.post(shard_, coordination::caller_ready{handle_});
    }

    void on_sent(std::size_t bytes) override
    {
        own_worker_.metrics().counts.bytes_sent += bytes;
    }

    void on_empty() override
    {
        if (std::exchange(answered_, false))
        {
            closing_ ? finish() : read_request();
        }
    }

    void on_connection_failed() override
    {
        on_caller_disconnected();
    }

    [[nodiscard]] std::shared_ptr<writer_owner> keep_alive() override
    {
        return {shared_from_this(), this};
    }

    void finish_stream()
    {
        unregister_caller();
        answered_ = true;
        append_chunk(writer_.pending(), {});
        writer_.flush();
    }

    void refuse(protocol::error_details const& error)
    {
        meter_.record_refusal(error.kind, now());
        if (head_sent_)
        {
            append_chunk(writer_.pending(), protocol::error_event(error));
            return finish_stream();
        }
        state::error_answer const& row = state::answer_for(error.kind);
        answer_head head{row.status, body_type, error.generation, {}, closing_};
        if (row.retry_after)
        {
            head.retry_after = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
        }
        answer(head, protocol::error_body(error));
    }

    [[nodiscard]] std::string answer_body(coordination::send_finished const& finished) const
    {
        if (is_call_)
        {
            return finished.text;
        }
        if (op_ == state::operation::reserve)
        {
            return protocol::reservation_body(finished.generation);
        }
        return protocol::completion_body(finished.generation, finished.text, finished.count);
    }

    void answer(answer_head const& head, std::string_view body)
    {
        unregister_caller();
        append_answer(writer_.pending(), head, body);
        answered_ = true;
        writer_.flush();
    }

    void unregister_caller()
    {
        if (handle_)
        {
            own_worker_.remove_caller(std::exchange(handle_, state::caller_handle{}));
        }
    }

    // A connection that is closed while the caller still sends is reset by the system, and the
    // caller loses the answer. Input is therefore read and discarded until the caller closes its
    // side or the read timeout expires.
    void finish()
    {
        error_code ignored;
        socket_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        socket_.expires_after(context_.limits.read_timeout);
        drop_input();
    }

    void drop_input()
    {
        buffer_.clear();
        socket_.async_read_some(buffer_.prepare(initial_read_bytes),
                                [self = shared_from_this()](error_code error, std::size_t)
                                { error ? self->close_connection() : self->drop_input(); });
    }

    void close_connection()
    {
        if (std::exchange(closed_, true))
        {
            return;
        }
        --own_worker_.metrics().counts.connections;
        writer_.close();
        error_code ignored;
        socket_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        socket_.socket().close(ignored);
    }

    worker& own_worker_;
    session_context& context_;
    answer_meter meter_;
    beast::tcp_stream socket_;
    caller_writer writer_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    state::caller_handle handle_;
    std::uint32_t shard_ = 0;
    state::operation op_ = state::operation::run;
    bool head_sent_ = false;
    bool is_call_ = false;
    bool streamed_ = false;
    bool closing_ = false;
    bool answered_ = false;
    bool watching_ = false;
    bool closed_ = false;
};

} // namespace

void serve_caller(worker& caller_worker, session_context& context, tcp::socket socket)
{
    std::make_shared<caller_session>(caller_worker, context, std::move(socket))->read_request();
}

void refuse_caller(tcp::socket socket)
{
    protocol::error_details const error{
        state::error_kind::overloaded, "too many connections", std::chrono::seconds{1}, {}, 0};
    auto const text = std::make_shared<std::string>();
    append_answer(*text,
                  {state::answer_for(error.kind).status,
                   "application/json",
                   {},
                   std::chrono::seconds{1},
                   true},
                  protocol::error_body(error));
    auto const shared = std::make_shared<tcp::socket>(std::move(socket));
    net::async_write(*shared, net::buffer(*text), [shared, text](error_code, std::size_t) {});
}

} // namespace plumdale::transport
