#include "http_fetch.hpp"

#include <plumdale/protocol/answer_status.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace plumdale::transport
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using connection = std::unique_ptr<beast::tcp_stream>;

// Bytes that are read ahead of the parser. It waits for the end of a chunk's head or of trailers,
// however long it is.
constexpr std::size_t max_unparsed_bytes = 128ULL * 1024;
// Waits for more of one answer. A peer that sends a byte now and then would never be given up.
constexpr int max_extensions = 16;

/// \brief How an exchange ended: an answer, or why there is none.
struct exchange_result
{
    error_code error;
    fetch_answer answer;
    /// \brief The connection, when it can carry another request.
    connection reusable;
};

using result_handler = std::function<void(exchange_result)>;

/// \brief One request and its answer on one connection.
class exchange final : public std::enable_shared_from_this<exchange>
{
public:
    exchange(connection socket, fetch_request const& wanted, bool keep, result_handler handler)
        : socket_{std::move(socket)}, handler_{std::move(handler)}, timeout_{wanted.timeout},
          extends_on_progress_{wanted.extends_on_progress},
          last_deadline_{std::chrono::steady_clock::now() +
                         (wanted.extends_on_progress ? max_extensions : 1) * wanted.timeout},
          source_{wanted.source}, max_answer_bytes_{wanted.max_answer_bytes}
    {
        make_parser();
        request_.version(11);
        request_.method_string(wanted.method);
        request_.target(wanted.target);
        request_.set(http::field::host, "plumdale");
        request_.keep_alive(keep);
        if (!wanted.key.empty())
        {
            request_.set(http::field::authorization, "Bearer " + wanted.key);
        }
        for (protocol::header_field const& field : wanted.fields)
        {
            request_.set(field.name, field.value);
        }
        request_.body() = wanted.body;
        request_.prepare_payload();
        connect_timeout_ = wanted.connect_timeout.count() > 0
                               ? std::min(wanted.connect_timeout, wanted.timeout)
                               : wanted.timeout;
        socket_->expires_after(wanted.timeout);
    }

    void connect(state::endpoint address)
    {
        if (error_code const error = open_from(socket_->socket(), source_))
        {
            return fail(error);
        }
        socket_->expires_after(connect_timeout_);
        socket_->async_connect(to_tcp(address),
                               [self = shared_from_this()](error_code error)
                               {
                                   if (error)
                                   {
                                       return self->fail(error);
                                   }
                                   self->socket_->expires_at(self->last_deadline_);
                                   self->send();
                               });
    }

    void cancel()
    {
        handler_ = [](exchange_result const&) {
        };
        if (socket_ != nullptr)
        {
            socket_->close();
        }
    }

    void send()
    {
        http::async_write(*socket_, request_,
                          [self = shared_from_this()](error_code error, std::size_t)
                          { error ? self->fail(error) : self->read(); });
    }

private:
    void read()
    {
        // The stream's own timer doesn't end a read that finds bytes.
        if (std::chrono::steady_clock::now() >= last_deadline_)
        {
            return fail(beast::error::timeout);
        }
        if (extends_on_progress_)
        {
            socket_->expires_after(timeout_);
        }
        http::async_read_some(*socket_, buffer_, *parser_,
                              [self = shared_from_this()](error_code error, std::size_t)
                              { error ? self->fail(error) : self->on_read(); });
    }

    void on_read()
    {
        if (!parser_->is_header_done())
        {
            return read();
        }
        // Beast takes any three digits for the status of the answer.
        switch (protocol::kind_of_status(parser_->get().result_int()))
        {
        case protocol::status_kind::none:
            return fail(http::error::bad_status);
        case protocol::status_kind::interim:
            return skip_interim_answer();
        case protocol::status_kind::final_answer:
            return parser_->is_done() ? finish() : read();
        }
    }

    void skip_interim_answer()
    {
        if (++interim_answers_ > protocol::max_interim_answers)
        {
            return fail(http::error::bad_status);
        }
        make_parser();
        read();
    }

    void make_parser()
    {
        parser_.emplace();
        parser_->body_limit(max_answer_bytes_);
    }

    void finish()
    {
        exchange_result end;
        end.answer = {parser_->get().result_int(), std::move(parser_->get().body()), fields()};
        if (request_.keep_alive() && parser_->keep_alive() && buffer_.size() == 0)
        {
            socket_->expires_never();
            end.reusable = std::move(socket_);
        }
        handler_(std::move(end));
    }

    [[nodiscard]] std::vector<protocol::header_field> fields() const
    {
        std::vector<protocol::header_field> found;
        for (auto const& each : parser_->get())
        {
            found.push_back({std::string{each.name_string()}, std::string{each.value()}});
        }
        return found;
    }

    void fail(error_code error)
    {
        exchange_result end;
        end.error = error;
        handler_(std::move(end));
    }

    connection socket_;
    result_handler handler_;
    std::chrono::milliseconds timeout_;
    std::chrono::milliseconds connect_timeout_{};
    bool extends_on_progress_;
    std::chrono::steady_clock::time_point last_deadline_;
    state::endpoint source_;
    http::request<http::string_body> request_;
    std::uint64_t max_answer_bytes_;
    std::uint32_t interim_answers_ = 0;
    std::optional<http::response_parser<http::string_body>> parser_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
};

void report(fetch_handler const& handler, exchange_result& end)
{
    if (end.error)
    {
        // Only connecting ends so: on an open connection nothing refuses.
        auto const kind = end.error == net::error::connection_refused
                              ? state::error_kind::connection_refused
                              : state::error_kind::connection_failed;
        return handler(state::failure{kind, end.error.message()});
    }
    handler(std::move(end.answer));
}

} // namespace

fetch_canceller fetch(net::io_context& context, fetch_request request, fetch_handler handler)
{
    auto const sent = std::make_shared<exchange>(
        std::make_unique<beast::tcp_stream>(context), request, false,
        [handler = std::move(handler)](exchange_result end) { report(handler, end); });
    sent->connect(request.address);
    return [weak = std::weak_ptr{sent}]
    {
        if (auto const self = weak.lock())
        {
            self->cancel();
        }
    };
}

// -- kept connections -----------------------------------------------------------------------------

class fetcher::idle_connections final
    : public std::enable_shared_from_this<fetcher::idle_connections>
{
public:
    explicit idle_connections(net::io_context& context) : context_{context} {}

    void send(fetch_request request, fetch_handler handler)
    {
        connection reusable = request.method == "GET" ? take(request.address) : nullptr;
        if (reusable == nullptr)
        {
            return send_on_new_connection(request, std::move(handler));
        }
        // The connection may have been closed or silently lost while it was idle: then the exchange
        // fails or times out. A read is idempotent, so it is sent again on a new connection.
        auto retry_on_error = [self = shared_from_this(), request, handler](exchange_result end)
        {
            if (end.error)
            {
                return self->send_on_new_connection(request, handler);
            }
            self->keep(request.address, std::move(end.reusable));
            report(handler, end);
        };
        std::make_shared<exchange>(std::move(reusable), request, true, std::move(retry_on_error))
            ->send();
    }

private:
    void send_on_new_connection(fetch_request const& request, fetch_handler handler)
    {
        bool const is_read = request.method == "GET";
        auto on_end = [self = shared_from_this(), address = request.address,
                       handler = std::move(handler)](exchange_result end)
        {
            self->keep(address, std::move(end.reusable));
            report(handler, end);
        };
        std::make_shared<exchange>(std::make_unique<beast::tcp_stream>(context_), request, is_read,
                                   std::move(on_end))
            ->connect(request.address);
    }

    connection take(state::endpoint address)
    {
        auto const found = idle_.find(address);
        if (found == idle_.end())
        {
            return nullptr;
        }
        connection taken = std::move(found->second);
        idle_.erase(found);
        return taken;
    }

    void keep(state::endpoint address, connection reusable)
    {
        if (reusable != nullptr && idle_.size() < max_idle_connections)
        {
            idle_[address] = std::move(reusable);
        }
    }

    net::io_context& context_;
    std::map<state::endpoint, connection> idle_;
};

fetcher::fetcher(net::io_context& context) : idle_{std::make_shared<idle_connections>(context)} {}

fetcher::~fetcher() = default;

void fetcher::fetch(fetch_request request, fetch_handler handler)
{
    idle_->send(std::move(request), std::move(handler));
}

} // namespace plumdale::transport
