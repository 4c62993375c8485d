#include "slow_caller.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plumdale::test
{
namespace
{

namespace net = transport::net;

// Packets of an ordinary network: with those of loopback the system holds a whole answer.
constexpr int window_bytes = 16 * 1024;
constexpr int segment_bytes = 1'448;
constexpr std::chrono::milliseconds step{10};
constexpr std::size_t steps_per_second = 100;

} // namespace

slow_caller::slow_caller(forward_fixture& fixture, std::size_t bytes_per_second)
    : fixture_{fixture}, socket_{fixture.context}, bytes_per_second_{bytes_per_second}
{
    socket_.open(transport::tcp::v4());
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF, &window_bytes,
                 sizeof(window_bytes));
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                 sizeof(segment_bytes));
    socket_.connect(fixture.caller_address());
    socket_.non_blocking(true);
}

void slow_caller::send(std::string_view bytes)
{
    boost::system::error_code ignored;
    net::write(socket_, net::buffer(bytes), ignored);
}

void slow_caller::end_sending()
{
    boost::system::error_code ignored;
    socket_.shutdown(transport::tcp::socket::shutdown_send, ignored);
}

void slow_caller::read_until_size(std::size_t wanted)
{
    while (received.size() < wanted && !ended)
    {
        rest(step);
        read_some(bytes_per_second_ / steps_per_second);
    }
}

void slow_caller::read_some(std::size_t most)
{
    std::string bytes(most, '\0');
    boost::system::error_code error;
    std::size_t const size = socket_.read_some(net::buffer(bytes), error);
    received.append(bytes, 0, size);
    ended = error && error != net::error::would_block;
}

void slow_caller::rest(std::chrono::milliseconds time)
{
    auto const end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end)
    {
        fixture_.context.restart();
        fixture_.context.run_one_for(std::chrono::milliseconds{2});
    }
}

} // namespace plumdale::test
