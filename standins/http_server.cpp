#include "http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <sstream>

namespace plumdale::standins
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t body_limit = 4U << 20U;

std::string lower(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

http_request decode(http::request<http::string_body>&& from)
{
    http_request to;
    to.method = from.method_string();
    std::string const target{from.target()};
    std::size_t const query_start = target.find('?');
    to.path = target.substr(0, query_start);
    to.query = query_start == std::string::npos ? std::string{} : target.substr(query_start + 1);
    for (auto const& field : from)
    {
        to.headers.emplace_back(lower(field.name_string()), std::string{field.value()});
    }
    to.body = std::move(from.body());
    return to;
}

std::string head_text(unsigned status, std::vector<http_header> const& headers)
{
    http::response<http::empty_body> head{static_cast<http::status>(status), 11};
    for (auto const& [name, value] : headers)
    {
        head.set(name, value);
    }
    std::ostringstream text;
    text << head.base();
    return text.str();
}

std::string chunk_text(std::string_view text)
{
    std::array<char, 20> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), text.size(), 16);
    std::string out{digits.data(), end.ptr};
    out += "\r\n";
    out += text;
    out += "\r\n";
    return out;
}

class session;

/// One request's exchange; keeps the session alive while the handler holds it.
class session_exchange final : public http_exchange
{
public:
    explicit session_exchange(std::shared_ptr<session> owner) : owner_{std::move(owner)} {}
    session_exchange(session_exchange const&) = delete;
    session_exchange& operator=(session_exchange const&) = delete;
    ~session_exchange() override;

    void answer(unsigned status, std::string body,
                std::vector<http_header> const& headers) override;
    void begin_events() override;
    void send(std::string text) override;
    void finish() override;
    void cut() override;
    [[nodiscard]] bool is_closed() const noexcept override;

private:
    std::shared_ptr<session> owner_;
    bool ended_ = false;
};

/// One connection. Requests on it are answered one after another.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, http_handler const& handler)
        : socket_{std::move(socket)}, handler_{handler}
    {
    }

    void read()
    {
        reading_body_ = true;
        parser_.emplace();
        parser_->body_limit(body_limit);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code failed, std::size_t)
                         { self->on_read(failed); });
    }

    void write(std::string text, bool last)
    {
        if (closed_)
        {
            return;
        }
        queue_.push_back(std::move(text));
        last_queued_ = last_queued_ || last;
        if (!writing_)
        {
            write_next();
        }
    }

    void close()
    {
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
    }

    [[nodiscard]] bool is_closed() const noexcept
    {
        return closed_;
    }

private:
    void on_read(error_code failed)
    {
        reading_body_ = false;
        if (failed)
        {
            close();
            return;
        }
        http_request const request = decode(parser_->release());
        watch_for_close();
        handler_(request, std::make_shared<session_exchange>(shared_from_this()));
    }

    // A caller that disconnects during a response is noticed only by reading from the socket.
    void watch_for_close()
    {
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this()](error_code failed)
                           {
                               if (!failed && !self->reading_body_)
                               {
                                   self->check_for_close();
                               }
                           });
    }

    void check_for_close()
    {
        error_code failed;
        std::array<char, 1> peeked{};
        std::size_t const size =
            socket_.receive(asio::buffer(peeked), tcp::socket::message_peek, failed);
        if (failed || size == 0)
        {
            close();
        }
    }

    void write_next()
    {
        if (queue_.empty())
        {
            if (last_queued_)
            {
                last_queued_ = false;
                error_code ignored;
                socket_.cancel(ignored);
                read();
            }
            return;
        }
        writing_ = true;
        asio::async_write(socket_, asio::buffer(queue_.front()),
                          [self = shared_from_this()](error_code failed, std::size_t)
                          { self->on_written(failed); });
    }

    void on_written(error_code failed)
    {
        writing_ = false;
        if (failed)
        {
            close();
            return;
        }
        queue_.pop_front();
        write_next();
    }

    tcp::socket socket_;
    http_handler const& handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<std::string> queue_;
    bool writing_ = false;
    bool last_queued_ = false;
    bool closed_ = false;
    bool reading_body_ = false;
};

session_exchange::~session_exchange()
{
    if (!ended_)
    {
        owner_->close();
    }
}

void session_exchange::answer(unsigned status, std::string body,
                              std::vector<http_header> const& headers)
{
    std::vector<http_header> all = headers;
    all.emplace_back("Content-Type", "application/json");
    all.emplace_back("Content-Length", std::to_string(body.size()));
    ended_ = true;
    owner_->write(head_text(status, all) + body, true);
}

void session_exchange::begin_events()
{
    owner_->write(head_text(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {"Transfer-Encoding", "chunked"}}),
                  false);
}

void session_exchange::send(std::string text)
{
    owner_->write(chunk_text(text), false);
}

void session_exchange::finish()
{
    ended_ = true;
    owner_->write("0\r\n\r\n", true);
}

void session_exchange::cut()
{
    ended_ = true;
    owner_->close();
}

bool session_exchange::is_closed() const noexcept
{
    return owner_->is_closed();
}

} // namespace

std::string_view http_request::header(std::string_view name) const noexcept
{
    for (auto const& [known, value] : headers)
    {
        if (known == name)
        {
            return value;
        }
    }
    return {};
}

std::optional<std::uint64_t> http_request::number(std::string_view name) const noexcept
{
    std::string_view rest = query;
    while (!rest.empty())
    {
        std::string_view const item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        if (item.substr(0, name.size()) != name || item.substr(name.size(), 1) != "=")
        {
            continue;
        }
        std::string_view const digits = item.substr(name.size() + 1);
        std::uint64_t value = 0;
        auto const end = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (end.ec == std::errc{})
        {
            return value;
        }
    }
    return std::nullopt;
}

class http_server::listener : public std::enable_shared_from_this<listener>
{
public:
    listener(asio::io_context& io, std::uint16_t port, http_handler handler)
        : acceptor_{io, tcp::endpoint{asio::ip::address_v4::loopback(), port}}, handler_{std::move(
                                                                                    handler)}
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code failed, tcp::socket socket)
            {
                if (failed)
                {
                    return;
                }
                error_code ignored;
                socket.set_option(tcp::no_delay{true}, ignored);
                std::make_shared<session>(std::move(socket), self->handler_)->read();
                self->accept();
            });
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
    }

private:
    tcp::acceptor acceptor_;
    http_handler handler_;
};

http_server::http_server(boost::asio::io_context& io, std::uint16_t port, http_handler handler)
    : listener_{std::make_shared<listener>(io, port, std::move(handler))}
{
    listener_->accept();
}

http_server::~http_server()
{
    listener_->close();
}

std::uint16_t http_server::port() const
{
    return listener_->port();
}

} // namespace plumdale::standins
