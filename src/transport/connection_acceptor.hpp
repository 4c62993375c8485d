#pragma once

#include "net.hpp"

#include <plumdale/state/time.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

/// \file
/// \brief Accepts connections between the loop's other work.

namespace plumdale::transport
{

/// \brief Decides about the connections that wait at a listener. The defaults take all of them.
class connection_sink
{
public:
    connection_sink() = default;
    connection_sink(connection_sink const&) = delete;
    connection_sink& operator=(connection_sink const&) = delete;
    virtual ~connection_sink() = default;

    /// \brief Called when no connection waits.
    virtual void on_queue_empty(state::time_point /*now*/) {}
    /// \brief Returns how many connections to accept before the loop's other work runs.
    [[nodiscard]] virtual std::size_t begin_turn(state::time_point now);
    /// \brief Takes a connection, or leaves it, which closes it unread.
    virtual void on_connection(tcp::socket& socket, state::time_point now) = 0;
    /// \brief Called when a connection could not be accepted.
    virtual void on_failure(boost::system::error_code error) = 0;
};

/// \brief Accepts the connections of one listener, a batch at a time.
class connection_acceptor
{
public:
    /// \brief `acceptor` listens already.
    connection_acceptor(net::io_context& context, tcp::acceptor& acceptor, connection_sink& sink);

    void start();

    /// \brief Without a free descriptor each attempt fails at once: retries without a pause would
    /// spin.
    static constexpr auto retry_delay = std::chrono::milliseconds{50};

private:
    void wait();
    void accept_batch();
    void pause();

    net::io_context& context_;
    tcp::acceptor& acceptor_;
    connection_sink& sink_;
    net::steady_timer retry_timer_;
};

} // namespace plumdale::transport
