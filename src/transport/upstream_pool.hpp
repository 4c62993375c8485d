#pragma once

#include "net.hpp"

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Kept connections to upstreams.

namespace plumdale::transport
{

/// \brief One idle connection.
struct kept_connection
{
    tcp::socket socket;
    state::time_point idle_since{};
    /// \brief How long it may be idle and still be sent on.
    state::duration usable_time{};
};

/// \brief Idle connections by upstream incarnation, never by address alone: addresses are used
/// again by other upstreams.
class upstream_pool
{
public:
    /// \brief Returns an idle connection that shows no sign of its end, or none. With
    /// `max_idle` it has not been idle for longer.
    [[nodiscard]] std::unique_ptr<tcp::socket>
    take(state::member_key member, state::duration max_idle, state::time_point now);
    /// \brief Keeps a connection whose last exchange ended in order.
    void keep(state::member_key member, tcp::socket socket, state::duration keep_alive,
              state::time_point now);
    /// \brief Closes what was idle for too long.
    void sweep(state::time_point now);
    void drop(state::member_key member);

    /// \brief Idle time of upstreams that state none.
    static constexpr state::duration default_keep_alive = std::chrono::seconds{2};
    /// \brief Part of the stated idle time that is used: the upstream's clock starts earlier, and
    /// some close sooner than they say.
    static constexpr int keep_alive_divisor = 3;
    /// \brief Idle connections kept for one upstream; all callers share what one takes.
    static constexpr std::size_t max_idle_connections = 8;

private:
    std::unordered_map<state::member_key, std::vector<kept_connection>> idle_;
};

} // namespace plumdale::transport
