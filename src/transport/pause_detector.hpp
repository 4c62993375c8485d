#pragma once

#include <plumdale/state/time.hpp>

#include <algorithm>

/// \file
/// \brief Detects that the process did not run for a while.

namespace plumdale::transport
{

/// \brief Compares two clocks and the armed timer, before each event of one thread.
///
/// After a suspension of the VM, the monotonic clock is behind the one that counts suspension;
/// after a stop of the process, a timer is overdue. Undetected, either pause would let the process
/// dispatch by outdated state.
class pause_detector
{
public:
    /// \brief `clock_offset` is how far the suspension-counting clock is ahead of the monotonic
    /// one.
    pause_detector(state::duration tolerance, state::duration clock_offset) noexcept
        : tolerance_{tolerance}, clock_offset_{clock_offset}
    {
    }

    /// \brief Returns how long the process did not run when that is above the tolerance, else zero.
    /// `timer_at` is the moment for which the thread's timer was set.
    [[nodiscard]] state::duration pause_length(state::time_point now, state::duration clock_offset,
                                               state::time_point timer_at) noexcept
    {
        state::duration const suspended = clock_offset - clock_offset_;
        clock_offset_ = clock_offset;
        state::duration const late = timer_at < now ? now - timer_at : state::duration::zero();
        state::duration const longest = std::max(suspended, late);
        return longest > tolerance_ ? longest : state::duration::zero();
    }

private:
    state::duration tolerance_;
    state::duration clock_offset_;
};

} // namespace plumdale::transport
