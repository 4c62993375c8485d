#pragma once

#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <deque>
#include <unordered_map>

/// \file
/// \brief How many requests this entry VM may send to an upstream that is cold.

namespace plumdale::coordination
{

/// \brief Keeps a fleet within a cold upstream's limit without messages between its VMs.
///
/// Each VM has an equal part of each cold upstream's allowance. Where that would be less than one
/// request, some of the VMs, chosen by rank for each upstream, have one request each. Example:
/// \code
/// cold_upstream_limiter limiter{fleet, self, started};
/// if (limiter.may_send(member, limits, now)) { send(); limiter.note_sent(member, now); }
/// \endcode
class cold_upstream_limiter
{
public:
    /// \brief `started`: when this process started.
    cold_upstream_limiter(fleet_view const& fleet, state::node_id self,
                          state::time_point started) noexcept
        : fleet_{fleet}, self_{self}, started_{started}
    {
    }

    [[nodiscard]] bool may_send(state::member_key member, state::cold_limits const& limits,
                                state::time_point now) const;
    /// \brief Counts a request sent to a cold upstream.
    void note_sent(state::member_key member, state::time_point now);
    /// \brief Drops send times that are outside every rate window.
    void forget(state::time_point now);

    /// \brief A VM sends nothing to cold upstreams for this time after it started or found a new
    /// peer: after a fleet-wide power loss each VM at first knows only itself.
    static constexpr state::duration settling_time = std::chrono::seconds{1};

private:
    [[nodiscard]] bool is_settled(state::time_point now) const noexcept;
    [[nodiscard]] std::size_t rank_for(state::member_key member) const;

    fleet_view const& fleet_;
    state::node_id self_;
    state::time_point started_;
    std::unordered_map<state::member_key, std::deque<state::time_point>> send_times_;
};

} // namespace plumdale::coordination
