#pragma once

#include <plumdale/state/time.hpp>

#include <optional>

/// \file
/// \brief Retry delays to send to refused callers.

namespace plumdale::coordination
{

/// \brief Returns the retry delay of a refused call, for a random `draw` in [0, 1).
[[nodiscard]] state::duration draw_retry_after(double draw) noexcept;

/// \brief Returns the retry delay of a generation that found no capacity, for a random `draw` in
/// [0, 1).
[[nodiscard]] state::duration draw_retry_after(state::duration time_left, double draw) noexcept;

/// \brief Returns the retry delay of a generation that would have waited `expected` for capacity:
/// callers come back after that, spread over the rest of the time that they honor.
[[nodiscard]] state::duration draw_retry_after(state::duration time_left, state::duration expected,
                                               double draw) noexcept;

/// \brief Returns the retry delay of a call that is refused since all upstreams back off, the first
/// of them for another `backoff_left`, for a random `draw` in [0, 1); none if a caller with
/// `time_left` doesn't wait that long.
[[nodiscard]] std::optional<state::duration> draw_retry_after_backoff(state::duration backoff_left,
                                                                      state::duration time_left,
                                                                      double draw) noexcept;

} // namespace plumdale::coordination
