#include "engine_stream.hpp"

#include "service_question.hpp"

#include <plumdale/protocol/answer_reader.hpp>
#include <plumdale/protocol/answer_status.hpp>
#include <plumdale/protocol/engine_codec.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <utility>

namespace plumdale::transport
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using coordination::request_event;
using coordination::stream_mode;
using coordination::upstream_failure;

constexpr unsigned ok = 200;
constexpr unsigned first_success = 200;
constexpr unsigned first_failure = 300;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr std::size_t read_buffer_bytes = 4096;
constexpr auto connect_timeout = std::chrono::seconds{2};
constexpr std::uint64_t max_stream_bytes = 256ULL * 1024 * 1024;
// The answer to a plain call is buffered completely.
constexpr std::uint64_t max_call_bytes = 16ULL * 1024 * 1024;
// Of an answer's head, of each line of a chunk, and of trailers.
constexpr std::uint32_t max_head_bytes = 16 * 1024;

/// \brief Implements the engines' HTTP protocol, or forwards a plain call.
class http_stream final : public upstream_stream, public std::enable_shared_from_this<http_stream>
{
public:
    http_stream(net::io_context& context, coordination::open_stream open, std::string model,
                std::shared_ptr<answer_memory> answers_held, stream_listener listener)
        : context_{context}, socket_{context}, open_{std::move(open)}, model_{std::move(model)},
          listener_{std::move(listener)}, answers_held_{std::move(answers_held)},
          reader_{protocol::message_role::answer,
                  {max_head_bytes, is_call() ? max_call_bytes : max_stream_bytes}}
    {
    }

    void start()
    {
        socket_.expires_after(connect_timeout);
        socket_.async_connect(to_tcp(open_.address), [self = shared_from_this()](error_code error)
                              { self->on_connected(error); });
    }

    void pause() override
    {
        paused_ = true;
    }

    void resume() override
    {
        paused_ = false;
        if (std::exchange(read_deferred_, false))
        {
            read();
        }
    }

    void close() override
    {
        listener_ = nullptr;
        end_question_.reset();
        call_body_.clear();
        error_code ignored;
        socket_.socket().close(ignored);
    }

private:
    [[nodiscard]] bool is_call() const noexcept
    {
        return open_.kind == state::work_kind::call;
    }

    void make_request()
    {
        std::string const id = protocol::to_text(open_.generation);
        request_.version(11);
        request_.set(http::field::host, "upstream");
        request_.set("Plumdale-Generation", id);
        if (open_.mode == stream_mode::resume)
        {
            request_.method(http::verb::get);
            request_.target("/v1/streams/" + id + "?from=" + std::to_string(open_.from_index));
            return;
        }
        request_.method(http::verb::post);
        request_.set(http::field::content_type, "application/json");
        request_.target(is_call() ? open_.path : "/v1/streams");
        request_.body() = is_call() ? *open_.body
                                    : protocol::start_body({open_.generation, model_, open_.kind,
                                                            *open_.body, open_.max_tokens});
        request_.prepare_payload();
    }

    void on_connected(error_code error)
    {
        if (error)
        {
            return fail(upstream_failure::not_connected);
        }
        error_code ignored;
        socket_.socket().set_option(tcp::no_delay{true}, ignored);
        socket_.expires_never();
        make_request();
        http::async_write(socket_, request_,
                          [self = shared_from_this()](error_code failed, std::size_t)
                          { self->on_written(failed); });
    }

    void on_written(error_code error)
    {
        request_.body().clear();
        if (error)
        {
            return fail(upstream_failure::broken);
        }
        read();
    }

    void read()
    {
        if (paused_)
        {
            read_deferred_ = true;
            return;
        }
        socket_.async_read_some(net::buffer(read_buffer_),
                                [self = shared_from_this()](error_code error, std::size_t bytes)
                                { self->on_read(error, bytes); });
    }

    void on_read(error_code error, std::size_t bytes)
    {
        reader_.append({read_buffer_.data(), bytes});
        if (error == net::error::eof)
        {
            reader_.append_eof();
        }
        take_head();
        take_body();
        if (listener_ == nullptr)
        {
            return;
        }
        if (reader_.progress() == protocol::read_progress::malformed)
        {
            return fail(cause_of_malformed());
        }
        if (reader_.progress() == protocol::read_progress::complete)
        {
            return on_end();
        }
        error ? fail(upstream_failure::broken) : read();
    }

    // An answer that is none may have been broken off; interim answers without end were sent.
    [[nodiscard]] upstream_failure cause_of_malformed() const
    {
        bool const is_interim =
            protocol::kind_of_status(reader_.head().status) == protocol::status_kind::interim;
        return is_interim ? upstream_failure::invalid : upstream_failure::broken;
    }

    [[nodiscard]] bool has_head() const
    {
        return reader_.progress() == protocol::read_progress::body ||
               reader_.progress() == protocol::read_progress::complete;
    }

    void take_head()
    {
        if (listener_ != nullptr && has_head() && !std::exchange(head_taken_, true))
        {
            on_head();
        }
    }

    void on_head()
    {
        protocol::message_head const& head = reader_.head();
        if (head.status == not_found && open_.mode == stream_mode::resume)
        {
            return fail(upstream_failure::unknown_generation);
        }
        std::string const* const not_run = head.find("Plumdale-Not-Run");
        bool const says_not_run = !is_call() || (not_run != nullptr && *not_run == "true");
        if (head.status == conflict && says_not_run)
        {
            return fail(upstream_failure::refused);
        }
        if (head.status != ok && !is_call())
        {
            return fail(upstream_failure::invalid);
        }
        emit(coordination::upstream_started{open_.stream});
    }

    void take_body()
    {
        std::string const bytes = head_taken_ ? reader_.take_body() : std::string{};
        if (listener_ == nullptr || bytes.empty())
        {
            return;
        }
        bool const is_held = is_call() ? call_body_.append(bytes) : splitter_.append(bytes);
        if (!is_held)
        {
            return fail(upstream_failure::invalid);
        }
        emit_events();
    }

    void emit_events()
    {
        std::string data;
        while (listener_ != nullptr && splitter_.next(data))
        {
            auto event = protocol::decode_engine_event(data);
            if (!event)
            {
                return fail(upstream_failure::invalid);
            }
            std::visit([this](auto& each) { on_event(each); }, event.value());
        }
    }

    void on_event(protocol::engine_token& token)
    {
        emit(coordination::upstream_token{open_.stream, token.generation, token.index,
                                          std::move(token.text)});
    }

    void on_event(protocol::engine_done const& done)
    {
        end(coordination::upstream_finished{open_.stream, done.generation, done.count});
    }

    // An engine's last event ends the exchange; an answer that ends without it is broken.
    void on_end()
    {
        if (!is_call())
        {
            return fail(upstream_failure::broken);
        }
        unsigned const status = reader_.head().status;
        bool const is_success = status >= first_success && status < first_failure;
        bool const ended_with_connection = reader_.framing() == protocol::body_framing::until_close;
        is_success&& ended_with_connection ? ask_whether_it_lives() : finish_call();
    }

    // A process that is killed within its answer closes the connection in order, too.
    void ask_whether_it_lives()
    {
        error_code ignored;
        socket_.socket().close(ignored);
        end_question_ = std::make_shared<service_question>(
            context_, open_.address,
            [weak = weak_from_this()](bool lived_on)
            {
                if (auto const self = weak.lock())
                {
                    lived_on ? self->finish_call() : self->fail(upstream_failure::broken);
                }
            });
        end_question_->ask();
    }

    void finish_call()
    {
        emit(coordination::upstream_token{open_.stream, open_.generation, 0, call_body_.text()});
        auto const status = static_cast<std::uint16_t>(reader_.head().status);
        end(coordination::upstream_finished{open_.stream, open_.generation, 1, status});
    }

    void fail(upstream_failure cause)
    {
        end(coordination::upstream_failed{open_.stream, cause});
    }

    void emit(request_event event)
    {
        if (listener_ != nullptr)
        {
            listener_(std::move(event));
        }
    }

    void end(request_event event)
    {
        stream_listener const listener = std::exchange(listener_, nullptr);
        close();
        if (listener != nullptr)
        {
            listener(std::move(event));
        }
    }

    net::io_context& context_;
    beast::tcp_stream socket_;
    coordination::open_stream open_;
    std::string model_;
    stream_listener listener_;
    std::shared_ptr<answer_memory> answers_held_;
    http::request<http::string_body> request_;
    protocol::answer_reader reader_;
    std::array<char, read_buffer_bytes> read_buffer_{};
    protocol::event_data_splitter splitter_;
    held_answer call_body_{*answers_held_};
    /// \brief The question that is under way, after an answer that ended with its connection.
    std::shared_ptr<service_question> end_question_;
    bool head_taken_ = false;
    bool paused_ = false;
    bool read_deferred_ = false;
};

} // namespace

std::shared_ptr<upstream_stream>
open_engine_stream(net::io_context& context, coordination::open_stream open, std::string model,
                   std::shared_ptr<answer_memory> answers_held, stream_listener listener)
{
    auto stream = std::make_shared<http_stream>(context, std::move(open), std::move(model),
                                                std::move(answers_held), std::move(listener));
    stream->start();
    return stream;
}

} // namespace plumdale::transport
