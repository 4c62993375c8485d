#include "connection_acceptor.hpp"

#include "boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;

constexpr std::size_t default_batch = 16;

} // namespace

std::size_t connection_sink::begin_turn(state::time_point /*now*/)
{
    return default_batch;
}

connection_acceptor::connection_acceptor(net::io_context& context, tcp::acceptor& acceptor,
                                         connection_sink& sink)
    : context_{context}, acceptor_{acceptor}, sink_{sink}, retry_timer_{context}
{
}

void connection_acceptor::start()
{
    acceptor_.non_blocking(true);
    wait();
}

void connection_acceptor::wait()
{
    sink_.on_queue_empty(boot_now());
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [this](error_code error)
                         {
                             if (!error)
                             {
                                 sink_.on_queue_empty(boot_now());
                                 accept_batch();
                             }
                         });
}

void connection_acceptor::accept_batch()
{
    state::time_point const now = boot_now();
    std::size_t const batch = sink_.begin_turn(now);
    for (std::size_t i = 0; i < batch; ++i)
    {
        tcp::socket socket{context_};
        error_code error;
        acceptor_.accept(socket, error);
        if (error == net::error::would_block || error == net::error::try_again)
        {
            return wait();
        }
        if (error == net::error::connection_aborted)
        {
            continue;
        }
        if (error)
        {
            sink_.on_failure(error);
            return pause();
        }
        sink_.on_connection(socket, now);
    }
    net::post(context_, [this] { accept_batch(); });
}

void connection_acceptor::pause()
{
    retry_timer_.expires_after(retry_delay);
    retry_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                accept_batch();
            }
        });
}

} // namespace plumdale::transport
