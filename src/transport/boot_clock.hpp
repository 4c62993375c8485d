#pragma once

#include <plumdale/state/time.hpp>

#include <chrono>
#include <ctime>

/// \file
/// \brief The clock that also counts while the VM is suspended.

namespace plumdale::transport
{

/// \brief Returns the time since boot, suspension included: callers' time runs on meanwhile, so a
/// VM that wakes must not send what they gave up.
[[nodiscard]] inline state::time_point boot_now() noexcept
{
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    return state::time_point{std::chrono::seconds{boot.tv_sec} +
                             std::chrono::nanoseconds{boot.tv_nsec}};
}

/// \brief Returns how long a timer has to run until `when`; a day when it never comes.
[[nodiscard]] inline std::chrono::steady_clock::duration time_until(state::time_point when) noexcept
{
    constexpr state::duration longest = std::chrono::hours{24};
    state::time_point const now = boot_now();
    return when <= now ? state::duration::zero() : std::min(longest, when - now);
}

} // namespace plumdale::transport
