#pragma once

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief A small HTTP/1.1 server for the stand-ins; runs on one thread.

namespace plumdale::standins
{

using http_header = std::pair<std::string, std::string>;

/// \brief A request whose body has been read whole.
struct http_request
{
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< `a=1&b=2`, not decoded.
    std::string body;
    std::vector<http_header> headers;

    /// \brief Returns the header's value, or an empty text; `name` must be in lower case.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
    /// \brief Returns a number from the query, or no value.
    [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const noexcept;
};

/// \brief The response to one request. Destroying it before the response closes the connection.
class http_exchange
{
public:
    http_exchange() = default;
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;
    virtual ~http_exchange() = default;

    /// \brief Sends a complete response.
    virtual void answer(unsigned status, std::string body,
                        std::vector<http_header> const& headers = {}) = 0;
    /// \brief Begins a response of server-sent events.
    virtual void begin_events() = 0;
    /// \brief Sends text in a response that was begun.
    virtual void send(std::string text) = 0;
    /// \brief Ends a response that was begun.
    virtual void finish() = 0;
    /// \brief Closes the connection at once.
    virtual void cut() = 0;
    /// \brief Returns whether the connection is closed.
    [[nodiscard]] virtual bool is_closed() const noexcept = 0;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(http_request const&, http_exchange_ptr const&)>;

/// \brief Listens on 127.0.0.1 and passes each request to the handler.
class http_server
{
public:
    /// \brief Listens on `port`; zero picks a free port.
    http_server(boost::asio::io_context& io, std::uint16_t port, http_handler handler);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    [[nodiscard]] std::uint16_t port() const;

private:
    class listener;
    std::shared_ptr<listener> listener_;
};

} // namespace plumdale::standins
