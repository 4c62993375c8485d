#pragma once

#include <plumdale/coordination/cold_upstream_limiter.hpp>
#include <plumdale/coordination/outlier_detector.hpp>
#include <plumdale/coordination/refusal_bounds.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/upstream_backoffs.hpp>
#include <plumdale/coordination/upstream_limits.hpp>
#include <plumdale/state/routing_configuration.hpp>

#include <optional>
#include <string_view>

/// \file
/// \brief Decides whether this VM may send a request to an upstream.

namespace plumdale::coordination
{

/// \brief What an upstream and the platform say about sending to it, in one place.
///
/// Everything that leaves this VM for an upstream passes the gate when it is sent: what was chosen
/// a moment ago may not be sent any more. Example:
/// \code
/// send_gate gate{directory, health, backoffs, cold_limiter, limits, refusals};
/// if (gate.may_send(entry, service, now)) { send(); gate.note_sent(entry, service, now); }
/// \endcode
class send_gate
{
public:
    send_gate(service_directory const& directory, outlier_detector const& health,
              upstream_backoffs& backoffs, cold_upstream_limiter& cold_limiter,
              upstream_limits& limits, refusal_bounds& refusals) noexcept
        : directory_{directory}, health_{health}, backoffs_{backoffs},
          cold_limiter_{cold_limiter}, limits_{limits}, refusals_{refusals}
    {
    }

    /// \brief Returns whether a call may be sent: the upstream takes work and asked for no
    /// back-off, and this VM has not used up its shares of the upstream's stated limits and of its
    /// limit while cold.
    [[nodiscard]] bool may_send(directory_entry const& entry, state::service const& service,
                                state::time_point now) const;
    /// \brief Returns whether a generation may be resumed at an upstream.
    [[nodiscard]] bool may_resume(directory_entry const& entry, state::time_point now) const;
    /// \brief Returns whether a request of this VM itself, like the order to copy a generation's
    /// memory, may be sent.
    [[nodiscard]] bool may_order(state::member_key member, state::time_point now) const;
    /// \brief Returns when the first of a service's upstreams may be sent to again, if back-offs
    /// keep calls from all that take work; none otherwise.
    [[nodiscard]] std::optional<state::time_point> backoffs_end(std::string_view service,
                                                                state::time_point now) const;
    /// \brief Returns an upstream of a service that this VM may not send to for the one reason that
    /// its share of the refusals that the upstream bears is in use or nothing; none if there is
    /// none. The search begins at number `first`.
    [[nodiscard]] std::optional<state::member_key>
    upstream_without_share(state::service const& service, std::size_t first,
                           state::time_point now) const;
    /// \brief Returns whether an upstream is considered cold.
    [[nodiscard]] bool is_cold(directory_entry const& entry, state::service const& service,
                               state::time_point now) const;
    /// \brief Counts a call that was sent.
    void note_sent(directory_entry const& entry, state::service const& service,
                   state::time_point now);
    /// \brief Counts a request of this VM itself that was sent.
    void note_ordered(state::member_key member, state::time_point now);

private:
    service_directory const& directory_;
    outlier_detector const& health_;
    upstream_backoffs& backoffs_;
    cold_upstream_limiter& cold_limiter_;
    upstream_limits& limits_;
    refusal_bounds& refusals_;
};

} // namespace plumdale::coordination
