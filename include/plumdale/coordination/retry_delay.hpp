#pragma once

#include <plumdale/state/time.hpp>

#include <optional>

/// \file
/// \brief Retry delays to send to refused callers.

namespace plumdale::coordination
{

/// \brief Returns the retry delay of a call that would have waited `expected` for capacity, zero if
/// that is unknown, for a random `draw` in [0, 1): after that time, spread over as much again, and
/// within the third of its time left that a caller honors.
[[nodiscard]] state::duration draw_retry_after(state::duration time_left, state::duration expected,
                                               double draw) noexcept;

/// \brief Returns the retry delay of a call that is refused since all upstreams back off, the first
/// of them for another `backoff_left`, for a random `draw` in [0, 1); none if a caller with
/// `time_left` doesn't wait that long.
[[nodiscard]] std::optional<state::duration> draw_retry_after_backoff(state::duration backoff_left,
                                                                      state::duration time_left,
                                                                      double draw) noexcept;

} // namespace plumdale::coordination
