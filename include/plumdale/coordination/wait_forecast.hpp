#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <optional>

/// \file
/// \brief How long calls of a route will wait for capacity.

namespace plumdale::coordination
{

/// \brief Forecasts waits from when this entry VM found capacity for a route's calls, and when not.
///
/// It knows nothing of callers. Two observations count: how long the first in line lately waited,
/// and for how long no call has found capacity. An outage is expected to last as long again as it
/// has lasted; so a call that arrives at its begin is held for half of its time at most, and one
/// that arrives when it is older than the call's time is refused at once. Example:
/// \code
/// wait_forecast forecast;
/// forecast.note_none(false, now);
/// if (now + forecast.expected(0, now) >= latest) { /* refuse */ }
/// \endcode
class wait_forecast
{
public:
    /// \brief Records that a call found capacity; `others_wait` if more calls are in line.
    void note_found(bool others_wait, state::time_point now) noexcept;
    /// \brief Records that a call found no capacity; `is_recheck` if it has waited since it found
    /// none before. Without such a call, what was seen longer ago than the outage had lasted by
    /// then says nothing: the outage then counts from now.
    void note_none(bool is_recheck, state::time_point now) noexcept;

    /// \brief Returns how long a call waits from now on, with `calls_before` others of its route in
    /// line before it; zero while nothing is known.
    [[nodiscard]] state::duration expected(std::size_t calls_before,
                                           state::time_point now) const noexcept;
    /// \brief Returns for how long no call has found capacity; zero if the last one did.
    [[nodiscard]] state::duration outage(state::time_point now) const noexcept;

private:
    std::optional<state::time_point> outage_began_;
    state::time_point last_none_{};
    /// \brief Mean time that the first in line waited.
    state::duration mean_wait_{};
};

} // namespace plumdale::coordination
