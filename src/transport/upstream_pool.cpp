#include "upstream_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace plumdale::transport
{
namespace
{

// A closed connection is not reused, nor one with bytes that no request asked for, such as an extra
// answer: the next answer read on it would not be that of the next call.
bool is_reusable(tcp::socket& socket)
{
    char byte = 0;
    ssize_t const received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<tcp::socket> upstream_pool::take(state::member_key member, state::duration max_idle,
                                                 state::time_point now)
{
    auto const found = idle_.find(member);
    while (found != idle_.end() && !found->second.empty())
    {
        kept_connection kept = std::move(found->second.back());
        found->second.pop_back();
        state::duration const idle = now - kept.idle_since;
        if (idle < std::min(kept.usable_time, max_idle) && is_reusable(kept.socket))
        {
            return std::make_unique<tcp::socket>(std::move(kept.socket));
        }
    }
    return nullptr;
}

void upstream_pool::keep(state::member_key member, tcp::socket socket, state::duration keep_alive,
                         state::time_point now)
{
    std::vector<kept_connection>& kept = idle_[member];
    if (kept.size() < max_idle_connections)
    {
        kept.push_back({std::move(socket), now, keep_alive / keep_alive_divisor});
    }
}

void upstream_pool::sweep(state::time_point now)
{
    for (auto& [member, kept] : idle_)
    {
        std::erase_if(kept, [now](kept_connection const& each)
                      { return now - each.idle_since >= each.usable_time; });
    }
    std::erase_if(idle_, [](auto const& each) { return each.second.empty(); });
}

void upstream_pool::drop(state::member_key member)
{
    idle_.erase(member);
}

} // namespace plumdale::transport
