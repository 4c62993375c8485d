#pragma once

#include "net.hpp"

#include <plumdale/protocol/message_head.hpp>
#include <plumdale/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief One HTTP exchange with a whole answer.

namespace plumdale::transport
{

/// \brief A request for `fetch()`.
struct fetch_request
{
    state::endpoint address;
    std::string method = "GET";
    std::string target;
    std::string body;
    /// \brief Bearer key; empty for none.
    std::string key;
    std::chrono::milliseconds timeout{2000};
    /// \brief Longest time to connect; zero for `timeout`.
    std::chrono::milliseconds connect_timeout{0};
    /// \brief Where the connection is opened from; zeros for any address.
    state::endpoint source{};
    /// \brief `timeout` bounds each wait for more of the answer instead of the whole exchange.
    bool extends_on_progress = false;
    /// \brief Size of the largest answer.
    std::uint64_t max_answer_bytes = 16ULL * 1024 * 1024;
    std::vector<protocol::header_field> fields{};
};

/// \brief A whole answer.
struct fetch_answer
{
    unsigned status = 0;
    std::string body;
    std::vector<protocol::header_field> fields{};
};

using fetch_handler = std::function<void(state::result<fetch_answer>)>;
/// \brief Ends an exchange whose answer is of no use any more, without a call of its handler; does
/// nothing once it has ended.
using fetch_canceller = std::function<void()>;

/// \brief Sends a request on a connection of its own and calls `handler` once; fails with
/// `connection_refused` if nothing listens at the address, and with `connection_failed`.
fetch_canceller fetch(net::io_context& context, fetch_request request, fetch_handler handler);

/// \brief Sends requests, and keeps one idle connection per address for later reads.
///
/// For use on one thread. A read (GET) that fails on a kept connection is sent once more on a new
/// one. Any other request always uses a new connection: after a failure on a kept one, it could
/// have been executed already. Example:
/// `fetcher loads{context}; loads.fetch({engine, "GET", "/v1/load"}, on_answer);`
class fetcher
{
public:
    /// \brief Maximum number of idle connections that are kept.
    static constexpr std::size_t max_idle_connections = 1024;

    explicit fetcher(net::io_context& context);
    fetcher(fetcher const&) = delete;
    fetcher& operator=(fetcher const&) = delete;
    ~fetcher();

    /// \brief Sends a request and calls `handler` once; fails as `fetch()` does.
    void fetch(fetch_request request, fetch_handler handler);

private:
    class idle_connections;
    std::shared_ptr<idle_connections> idle_;
};

} // namespace plumdale::transport
