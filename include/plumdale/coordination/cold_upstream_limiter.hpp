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

/// \brief Keeps a fleet under what a cold upstream bears, without a word between its VMs.
///
/// Of each cold upstream's allowance a VM has an equal part; where that would be less than a
/// request, some of the VMs, chosen by rank for each upstream, have one each. Example:
/// \code
/// cold_upstream_limiter share{fleet, self, started};
/// if (share.may_send(member, limits, now)) { send(); share.note_sent(member, now); }
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
    /// \brief Counts a request that left for a cold upstream.
    void note_sent(state::member_key member, state::time_point now);
    /// \brief Drops what no longer counts.
    void forget(state::time_point now);

    /// \brief A VM that has heard of a new peer lately, or has just started, doesn't know yet how
    /// many share: all of a fleet that lost power start with a fleet of one.
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
