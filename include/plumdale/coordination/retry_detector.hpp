#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>

/// \file
/// \brief How long callers of a route usually wait, and who has waited before.

namespace plumdale::coordination
{

/// \brief Recognizes calls that were refused before by the time that is left to them.
///
/// Each attempt of a caller has an id of its own; only its time left shows that there was an
/// earlier one. Callers of a route don't all wait equally long from the start: budgets spread over
/// a sixth, and one in 25 waits three times as long. So a call is compared with what four in five
/// of the last ones had at most: neither the few patient ones nor those that come back move that.
///
/// Example: `retry_detector patience; bool const came_back = patience.note(time_left);`
class retry_detector
{
public:
    /// \brief Notes a call; returns whether it has clearly less time than is usual.
    bool detect(state::duration time_left) noexcept;

    /// \brief Calls that are remembered; enough that the usual time is within 0.02 of itself.
    static constexpr std::size_t window_size = 32;
    /// \brief Before there are as many, all calls are taken for fresh.
    static constexpr std::size_t min_samples = 4;
    /// \brief Part of the remembered calls that had no more time than the usual one.
    static constexpr double usual_quantile = 0.8;
    /// \brief Part of the usual time below which a call has waited before. Fresh calls have 0.85 of
    /// the longest budget or more, which is 0.87 of the usual one; those that come back had waited
    /// and were told to stay away for a seventh of their time at least, which leaves 0.83 of the
    /// longest.
    static constexpr double retry_threshold = 0.86;

private:
    std::array<state::duration, window_size> samples_{};
    std::size_t count_ = 0;
};

} // namespace plumdale::coordination
