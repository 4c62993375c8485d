#include "delivery_watch.hpp"

#include "milliseconds.hpp"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace plumdale::transport
{
namespace
{

std::optional<tcp_info> read_info(int socket) noexcept
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_snd_mss == 0)
    {
        return std::nullopt;
    }
    return info;
}

} // namespace

delivery delivery_watch::look(int socket, state::time_point now) noexcept
{
    int undelivered = 0;
    auto const info = read_info(socket);
    if (!info || ::ioctl(socket, SIOCOUTQ, &undelivered) != 0)
    {
        return delivery::unknown;
    }
    if (undelivered == 0)
    {
        awaiting_since_ = state::never;
        return delivery::complete;
    }
    // A system that emulates connections may fill in no more than the size of segments.
    if (info->tcpi_unacked == 0 && info->tcpi_notsent_bytes == 0)
    {
        return delivery::unknown;
    }
    // A receiver without room is probed at growing intervals, and acknowledges each probe.
    bool const awaits = info->tcpi_unacked != 0 || info->tcpi_probes != 0;
    state::time_point const newest = now - std::chrono::milliseconds{info->tcpi_last_ack_recv};
    if (!awaits)
    {
        awaiting_since_ = state::never;
    }
    else if (awaiting_since_ == state::never || newest > awaiting_since_)
    {
        awaiting_since_ = now;
    }
    bool const is_lost = awaits && now - awaiting_since_ >= lost_after_;
    return is_lost ? delivery::path_lost : delivery::underway;
}

void set_delivery_limit(int socket, state::duration limit) noexcept
{
    auto const timeout = static_cast<int>(whole_milliseconds(limit));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace plumdale::transport
