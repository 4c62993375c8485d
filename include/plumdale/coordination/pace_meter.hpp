#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>

/// \file
/// \brief Measures how fast a stream's events follow each other.

namespace plumdale::coordination
{

/// \brief Compares the time between a stream's events with the time that was expected for them.
///
/// Example:
/// \code
/// pace_meter meter;
/// meter.begin(now);                                    // the first event
/// if (auto const ratio = meter.add(30ms, now)) { ... } // the next one; 30 ms were expected
/// \endcode
class pace_meter
{
public:
    /// \brief Begins to measure at an event.
    void begin(state::time_point now) noexcept;
    /// \brief Adds events for which a time was expected; returns the ratio of a whole window.
    std::optional<double> add(state::duration expected, state::time_point now) noexcept;
    /// \brief Returns the ratio of an incomplete window at the stream's end, if it had two gaps.
    [[nodiscard]] std::optional<double> finish() const noexcept;
    /// \brief Drops the window, as the caller or the process held the events up.
    void interrupt() noexcept;

    /// \brief Windows are at least so long: long enough that the delays of single events don't
    /// matter, and short enough that a change shows within a second.
    static constexpr state::duration min_window = std::chrono::milliseconds{300};
    static constexpr std::uint32_t min_gaps = 2;

private:
    bool measures_ = false;
    std::uint32_t gaps_ = 0;
    state::duration expected_{};
    state::time_point began_at_{};
    state::time_point last_at_{};
};

} // namespace plumdale::coordination
