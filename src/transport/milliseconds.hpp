#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>

/// \file
/// \brief Durations as numbers for logs and targets.

namespace plumdale::transport
{

/// \brief Returns whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t whole_milliseconds(state::duration time) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace plumdale::transport
