#pragma once

#include <plumdale/state/time.hpp>

#include <ctime>

/// \file
/// \brief The machine's monotonic clock as the injected clock.

namespace plumdale::transport
{

/// \brief Returns the time of the monotonic clock.
[[nodiscard]] inline state::time_point now() noexcept
{
    return state::time_point{std::chrono::steady_clock::now().time_since_epoch()};
}

/// \brief Returns how far the clock that counts suspension is ahead of the monotonic one.
[[nodiscard]] inline state::duration suspended_time() noexcept
{
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    state::duration const since_boot =
        std::chrono::seconds{boot.tv_sec} + std::chrono::nanoseconds{boot.tv_nsec};
    return since_boot - now().time_since_epoch();
}

/// \brief Returns a moment of the injected clock as one of the steady clock, for timers.
[[nodiscard]] inline std::chrono::steady_clock::time_point
to_steady(state::time_point when) noexcept
{
    return std::chrono::steady_clock::time_point{when.time_since_epoch()};
}

} // namespace plumdale::transport
