#include "listener.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;

// Without free file descriptors every accept fails at once: retries without a delay would spin.
constexpr auto retry_delay = std::chrono::milliseconds{100};

state::failure open_failure(state::endpoint where, error_code error)
{
    return {state::error_kind::connection_failed,
            protocol::to_text(where) + ": " + error.message()};
}

} // namespace

state::result<state::endpoint> open_acceptor(tcp::acceptor& acceptor, state::endpoint where)
{
    error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
    acceptor.bind(to_tcp(where), error);
    if (!error)
    {
        acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return open_failure(where, error);
    }
    return from_tcp(acceptor.local_endpoint());
}

state::result<state::endpoint> open_datagrams(net::ip::udp::socket& socket, state::endpoint where)
{
    error_code error;
    socket.open(net::ip::udp::v4(), error);
    socket.bind({net::ip::address_v4{where.address}, where.port}, error);
    if (error)
    {
        return open_failure(where, error);
    }
    auto const bound = socket.local_endpoint();
    return state::endpoint{bound.address().to_v4().to_uint(), bound.port()};
}

listener::listener(tcp::acceptor acceptor, std::span<std::unique_ptr<worker> const> workers,
                   handler on_socket)
    : acceptor_{std::move(acceptor)}, retry_timer_{acceptor_.get_executor()}, workers_{workers},
      on_socket_{std::move(on_socket)}
{
}

void listener::start()
{
    accept();
}

void listener::accept()
{
    auto const index = static_cast<std::uint32_t>(next_worker_++ % workers_.size());
    acceptor_.async_accept(workers_[index]->context(),
                           [this, index](error_code error, tcp::socket socket)
                           { on_accepted(error, index, std::move(socket)); });
}

void listener::on_accepted(error_code error, std::uint32_t index, tcp::socket socket)
{
    if (error == net::error::operation_aborted)
    {
        return;
    }
    if (error)
    {
        retry_timer_.expires_after(retry_delay);
        retry_timer_.async_wait([this](error_code failed) { failed ? void() : accept(); });
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    auto const shared = std::make_shared<tcp::socket>(std::move(socket));
    net::post(workers_[index]->context(),
              [this, index, shared] { on_socket_(index, std::move(*shared)); });
    accept();
}

} // namespace plumdale::transport
