#include "upstream_pool.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace plumdale::transport
{
namespace
{

/// \brief What an idle connection holds.
struct idle_state
{
    /// \brief It is open, and nothing came.
    bool is_quiet = false;
    /// \brief The first bytes that came.
    std::string unasked;
};

idle_state look_at(tcp::socket& socket)
{
    std::array<char, upstream_pool::max_logged_bytes> bytes{};
    ssize_t const received =
        ::recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (received < 0)
    {
        return {errno == EAGAIN || errno == EWOULDBLOCK, {}};
    }
    return {false, std::string(bytes.data(), static_cast<std::size_t>(received))};
}

} // namespace

upstream_pool::upstream_pool(unasked_handler on_unasked) : on_unasked_{std::move(on_unasked)} {}

// A closed connection is not reused, nor one with bytes that no request asked for, such as an extra
// answer: the next answer read on it would not be that of the next call.
bool upstream_pool::is_reusable(state::member_key member, tcp::socket& socket) const
{
    idle_state const found = look_at(socket);
    if (!found.unasked.empty())
    {
        on_unasked_(member, found.unasked);
    }
    return found.is_quiet;
}

std::unique_ptr<tcp::socket> upstream_pool::take(state::member_key member, state::duration max_idle,
                                                 state::time_point now)
{
    auto const found = idle_.find(member);
    while (found != idle_.end() && !found->second.empty())
    {
        kept_connection kept = std::move(found->second.back());
        found->second.pop_back();
        state::duration const idle = now - kept.idle_since;
        if (idle < std::min(kept.usable_time, max_idle) && is_reusable(member, kept.socket))
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
