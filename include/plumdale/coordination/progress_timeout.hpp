#pragma once

#include <plumdale/state/time.hpp>

/// \file
/// \brief How long a stream may be silent, learnt from gaps and first tokens.

namespace plumdale::coordination
{

/// \brief Mean and deviation of a time, as TCP estimates its round trips.
class duration_estimator
{
public:
    /// \brief Takes one measured time.
    void note(state::duration measured) noexcept;
    /// \brief Returns the longest time that is still plausible, within bounds; the longest allowed
    /// until a time was noted.
    [[nodiscard]] state::duration upper_bound(state::duration shortest,
                                              state::duration longest) const noexcept;

private:
    state::duration mean_{};
    state::duration deviation_{};
    bool measured_ = false;
};

/// \brief Bounds of the learnt timeout.
struct progress_timeout_bounds
{
    state::duration first;    ///< Before the first token.
    state::duration shortest; ///< Never below this, however even the stream was.
    state::duration longest;  ///< Never above this after the first token.
};

/// \brief Estimates a stream's gaps.
///
/// Example: `progress_timeout gaps; gaps.token(now); now + gaps.allowed(bounds)`.
class progress_timeout
{
public:
    /// \brief Notes a token.
    void token(state::time_point now) noexcept;
    /// \brief Forgets the time of the last token, after a pause that was not the upstream's.
    void restart() noexcept;
    /// \brief Returns the longest silence that is still plausible.
    [[nodiscard]] state::duration timeout(progress_timeout_bounds const& bounds) const noexcept;

private:
    state::time_point last_ = state::never;
    duration_estimator gap_;
    bool started_ = false;
};

} // namespace plumdale::coordination
