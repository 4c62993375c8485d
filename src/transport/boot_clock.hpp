#pragma once

#include <plumdale/state/time.hpp>

#include <chrono>
#include <ctime>

/// \file
/// \brief The clock that also counts while the VM is suspended.

namespace plumdale::transport
{

/// \brief Returns the time since boot, including suspension. Callers' timeouts continue during a
/// suspension, so a resumed VM must not send requests that their callers have abandoned.
[[nodiscard]] inline state::time_point boot_now() noexcept
{
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    return state::time_point{std::chrono::seconds{boot.tv_sec} +
                             std::chrono::nanoseconds{boot.tv_nsec}};
}

/// \brief Returns the delay of a timer that expires at `when`, at most 24 hours.
[[nodiscard]] inline std::chrono::steady_clock::duration time_until(state::time_point when) noexcept
{
    constexpr state::duration longest = std::chrono::hours{24};
    state::time_point const now = boot_now();
    return when <= now ? state::duration::zero() : std::min(longest, when - now);
}

} // namespace plumdale::transport
