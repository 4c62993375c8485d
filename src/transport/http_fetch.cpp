#include "http_fetch.hpp"

#include <plumdale/protocol/answer_reader.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace plumdale::transport
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using connection = std::unique_ptr<beast::tcp_stream>;

constexpr std::size_t read_buffer_bytes = 16UL * 1024;
// Of an answer's head, of each line of a chunk, and of trailers.
constexpr std::uint32_t max_head_bytes = 16 * 1024;
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
          source_{wanted.source}, reader_{protocol::message_role::answer,
                                          {max_head_bytes, wanted.max_answer_bytes}}
    {
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
        socket_->async_read_some(net::buffer(buffer_),
                                 [self = shared_from_this()](error_code error, std::size_t bytes)
                                 { self->on_read(error, bytes); });
    }

    void on_read(error_code error, std::size_t bytes)
    {
        reader_.append({buffer_.data(), bytes});
        if (error == net::error::eof)
        {
            reader_.append_eof();
        }
        if (reader_.progress() == protocol::read_progress::malformed)
        {
            return fail(http::error::bad_value);
        }
        if (reader_.progress() == protocol::read_progress::complete)
        {
            return finish();
        }
        error ? fail(error) : read();
    }

    void finish()
    {
        exchange_result end;
        end.answer = {reader_.head().status, reader_.take_body(), reader_.head().fields};
        if (may_be_reused())
        {
            socket_->expires_never();
            end.reusable = std::move(socket_);
        }
        handler_(std::move(end));
    }

    [[nodiscard]] bool may_be_reused() const
    {
        std::string const* const options = reader_.head().find("Connection");
        bool const closes = options != nullptr && protocol::has_token(*options, "close");
        return request_.keep_alive() && !closes && reader_.unconsumed().empty() &&
               reader_.framing() != protocol::body_framing::until_close;
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
    protocol::answer_reader reader_;
    std::array<char, read_buffer_bytes> buffer_{};
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
