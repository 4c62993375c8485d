#pragma once

#include "net.hpp"
#include "worker.hpp"

#include <plumdale/state/result.hpp>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <span>

/// \file
/// \brief Opening of sockets, and accepting of connections.

namespace plumdale::transport
{

/// \brief Listens at `where`; returns the bound endpoint. Fails with `connection_failed`.
[[nodiscard]] state::result<state::endpoint> open_acceptor(tcp::acceptor& acceptor,
                                                           state::endpoint where);

/// \brief Binds a UDP socket; returns the bound endpoint. Fails with `connection_failed`.
[[nodiscard]] state::result<state::endpoint> open_datagrams(net::ip::udp::socket& socket,
                                                            state::endpoint where);

/// \brief Distributes accepted connections over the workers in turn.
class listener
{
public:
    /// \brief Called on the worker's thread.
    using handler = std::function<void(std::uint32_t worker, tcp::socket)>;

    listener(tcp::acceptor acceptor, std::span<std::unique_ptr<worker> const> workers,
             handler on_socket);

    void start();

private:
    void accept();
    void on_accepted(boost::system::error_code error, std::uint32_t index, tcp::socket socket);

    tcp::acceptor acceptor_;
    net::steady_timer retry_timer_;
    std::span<std::unique_ptr<worker> const> workers_;
    handler on_socket_;
    std::uint32_t next_worker_ = 0;
};

} // namespace plumdale::transport
