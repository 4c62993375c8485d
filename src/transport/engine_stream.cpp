#include "engine_stream.hpp"

#include "service_question.hpp"

#include <plumdale/protocol/answer_status.hpp>
#include <plumdale/protocol/engine_codec.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <optional>
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

constexpr std::size_t read_buffer_bytes = 4096;
constexpr auto connect_timeout = std::chrono::seconds{2};
constexpr std::uint64_t max_stream_bytes = 256ULL * 1024 * 1024;
// The answer to a plain call is buffered completely.
constexpr std::uint64_t max_call_bytes = 16ULL * 1024 * 1024;
// Bytes that are read ahead of the parser. It waits for the end of a chunk's line or of trailers,
// however long it is.
constexpr std::size_t max_unparsed_bytes = 128ULL * 1024;

/// \brief Implements the engines' HTTP protocol, or forwards a plain call.
class http_stream final : public upstream_stream, public std::enable_shared_from_this<http_stream>
{
public:
    http_stream(net::io_context& context, coordination::open_stream open, std::string model,
                std::shared_ptr<answer_memory> answers_held, stream_listener listener)
        : context_{context}, socket_{context}, open_{std::move(open)}, model_{std::move(model)},
          listener_{std::move(listener)}, answers_held_{std::move(answers_held)}
    {
        make_parser();
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

    void make_parser()
    {
        parser_.emplace();
        parser_->body_limit(is_call() ? max_call_bytes : max_stream_bytes);
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
        read_header();
    }

    void read_header()
    {
        http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code failed, std::size_t)
                                { self->on_header(failed); });
    }

    void on_header(error_code error)
    {
        if (error)
        {
            return fail(upstream_failure::broken);
        }
        // Beast takes any three digits for the status of the answer.
        switch (protocol::kind_of_status(parser_->get().result_int()))
        {
        case protocol::status_kind::none:
            return fail(upstream_failure::invalid);
        case protocol::status_kind::interim:
            return skip_interim_answer();
        case protocol::status_kind::final_answer:
            return on_final_header();
        }
    }

    void skip_interim_answer()
    {
        if (++interim_answers_ > protocol::max_interim_answers)
        {
            return fail(upstream_failure::invalid);
        }
        make_parser();
        read_header();
    }

    void on_final_header()
    {
        auto const& answer = parser_->get();
        if (answer.result() == http::status::not_found && open_.mode == stream_mode::resume)
        {
            return fail(upstream_failure::unknown_generation);
        }
        bool const says_not_run = !is_call() || answer["Plumdale-Not-Run"] == "true";
        if (answer.result() == http::status::conflict && says_not_run)
        {
            return fail(upstream_failure::refused);
        }
        if (answer.result() != http::status::ok && !is_call())
        {
            return fail(upstream_failure::invalid);
        }
        emit(coordination::upstream_started{open_.stream});
        if (listener_ != nullptr)
        {
            parser_->is_done() ? on_end() : read();
        }
    }

    void read()
    {
        if (paused_)
        {
            read_deferred_ = true;
            return;
        }
        parser_->get().body().data = read_buffer_.data();
        parser_->get().body().size = read_buffer_.size();
        http::async_read_some(socket_, buffer_, *parser_,
                              [self = shared_from_this()](error_code error, std::size_t)
                              { self->on_read(error); });
    }

    void on_read(error_code error)
    {
        if (listener_ == nullptr)
        {
            return;
        }
        if (error == http::error::need_buffer)
        {
            error = {};
        }
        if (error)
        {
            return fail(upstream_failure::broken);
        }
        std::size_t const got = read_buffer_.size() - parser_->get().body().size;
        std::string_view const bytes{read_buffer_.data(), got};
        if (is_call())
        {
            return append_to_call(bytes);
        }
        if (!splitter_.append(bytes))
        {
            return fail(upstream_failure::invalid);
        }
        emit_events();
        if (listener_ != nullptr)
        {
            parser_->is_done() ? on_end() : read();
        }
    }

    void append_to_call(std::string_view bytes)
    {
        if (!call_body_.append(bytes))
        {
            return fail(upstream_failure::invalid);
        }
        parser_->is_done() ? on_end() : read();
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
        bool const is_success =
            http::to_status_class(parser_->get().result()) == http::status_class::successful;
        is_success && parser_->need_eof() ? ask_whether_it_lives() : finish_call();
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
        auto const status = static_cast<std::uint16_t>(parser_->get().result_int());
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
    std::optional<http::response_parser<http::buffer_body>> parser_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::array<char, read_buffer_bytes> read_buffer_{};
    protocol::event_data_splitter splitter_;
    held_answer call_body_{*answers_held_};
    /// \brief The question that is under way, after an answer that ended with its connection.
    std::shared_ptr<service_question> end_question_;
    std::uint32_t interim_answers_ = 0;
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
