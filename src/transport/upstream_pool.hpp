#pragma once

#include "net.hpp"

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
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
    /// \brief How long it may be idle and still be reused.
    state::duration usable_time{};
};

/// \brief Idle connections by upstream incarnation, never by address alone: other upstreams may
/// reuse an address.
class upstream_pool
{
public:
    /// \brief Called with the first bytes that came on an idle connection; they belong to no call.
    using unasked_handler = std::function<void(state::member_key, std::string_view)>;

    explicit upstream_pool(unasked_handler on_unasked = [](state::member_key, std::string_view) {});

    /// \brief Returns an idle connection that shows no sign of closure and was idle for less than
    /// `max_idle`; null if there is none.
    [[nodiscard]] std::unique_ptr<tcp::socket>
    take(state::member_key member, state::duration max_idle, state::time_point now);
    /// \brief Keeps a connection whose last exchange was complete.
    void keep(state::member_key member, tcp::socket socket, state::duration keep_alive,
              state::time_point now);
    /// \brief Closes connections that were idle for too long.
    void sweep(state::time_point now);
    void drop(state::member_key member);

    /// \brief Keep-alive time of upstreams that state none.
    static constexpr state::duration default_keep_alive = std::chrono::seconds{2};
    /// \brief Divisor of the stated idle time that gives the time used: the upstream's timer starts
    /// earlier, and some close sooner than they state.
    static constexpr int keep_alive_divisor = 3;
    /// \brief Most idle connections kept for one upstream; all callers share those that one
    /// upstream accepts.
    static constexpr std::size_t max_idle_connections = 8;

    /// \brief Bytes of what came on an idle connection that are told: a status line.
    static constexpr std::size_t max_logged_bytes = 32;

private:
    [[nodiscard]] bool is_reusable(state::member_key member, tcp::socket& socket) const;

    unasked_handler on_unasked_;
    std::unordered_map<state::member_key, std::vector<kept_connection>> idle_;
};

} // namespace plumdale::transport
