#pragma once

#include <plumdale/state/time.hpp>

/// \file
/// \brief Estimates how long a stream may be silent, from its gaps and first tokens.

namespace plumdale::coordination
{

/// \brief Mean and deviation of a time, as TCP estimates its round-trip time.
class duration_estimator
{
public:
    /// \brief Takes one measured time.
    void note(state::duration measured) noexcept;
    /// \brief Returns the longest time that is still plausible, within the bounds; `longest` until
    /// a time was noted.
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
    state::duration shortest; ///< Lower bound, however regular the gaps are.
    state::duration longest;  ///< Upper bound after the first token.
};

/// \brief Timeout of one stream, estimated from the gaps between its tokens.
///
/// Example: `progress_timeout gaps; gaps.token(now); now + gaps.timeout(bounds)`.
class progress_timeout
{
public:
    /// \brief Notes a token.
    void token(state::time_point now) noexcept;
    /// \brief Forgets the time of the last token, after a pause that the upstream did not cause.
    void restart() noexcept;
    /// \brief Returns the longest silence that is still plausible.
    [[nodiscard]] state::duration timeout(progress_timeout_bounds const& bounds) const noexcept;

private:
    state::time_point last_ = state::never;
    duration_estimator gap_;
    bool started_ = false;
};

} // namespace plumdale::coordination
