#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>

/// \file
/// \brief Detection of retries by the time that is left to calls of a route.

namespace plumdale::coordination
{

/// \brief Recognizes calls that were refused before by the time that is left to them.
///
/// Each attempt of a caller has its own id; only its time left shows that there was an earlier one.
/// Initial budgets of a route's callers vary: they spread over a sixth, and one caller in 25 waits
/// three times as long. A call is therefore compared with the time that four in five of the last
/// calls had at most, which neither the few long budgets nor retries move.
///
/// Example: `retry_detector detector; bool const is_retry = detector.detect(time_left);`
class retry_detector
{
public:
    /// \brief Records a call; returns whether it has clearly less time left than is usual.
    bool detect(state::duration time_left) noexcept;

    /// \brief Calls that are remembered; enough to estimate the usual time to within 0.02 of it.
    static constexpr std::size_t window_size = 32;
    /// \brief With fewer calls, all of them count as first attempts.
    static constexpr std::size_t min_samples = 4;
    /// \brief Quantile of the remembered times left that is the usual time.
    static constexpr double usual_quantile = 0.8;
    /// \brief Fraction of the usual time below which a call is a retry. First attempts have 0.85 of
    /// the longest budget or more, which is 0.87 of the usual one. Retries have waited, and were
    /// delayed by a seventh of their time or more, which leaves at most 0.83 of the longest.
    static constexpr double retry_threshold = 0.86;

private:
    std::array<state::duration, window_size> samples_{};
    std::size_t count_ = 0;
};

} // namespace plumdale::coordination
