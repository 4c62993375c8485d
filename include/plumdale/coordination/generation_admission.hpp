#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string_view>

/// \file
/// \brief Whether a generation may be sent to an upstream, and until when that serves its caller.

namespace plumdale::coordination
{

/// \brief The time that a generation's caller has, and the time that the work takes.
struct caller_time
{
    state::time_point read_at{};
    /// \brief When its caller's time is over: the answer has to be complete by then.
    state::time_point deadline{};
    /// \brief Longest time without an event after which its caller abandons it.
    state::duration silence_timeout{};
    /// \brief Time to the first event at an upstream that processes no other prompt.
    state::duration reading{};
    /// \brief Time to its expected end there.
    state::duration run{};
};

/// \brief Returns the last moment at which sending a generation still serves its caller: its first
/// event comes before the caller abandons it, and its end before the deadline.
[[nodiscard]] state::time_point latest_send(caller_time const& time) noexcept;

/// \brief What keeps a generation from being sent now.
enum class admission_limit : std::uint8_t
{
    none,
    memory,             ///< The upstream's memory is too full for it.
    time_to_first_event ///< Others' prompts that the upstream has to read first take too long.
};

/// \brief Returns the name of a limit for log lines.
[[nodiscard]] std::string_view limit_name(admission_limit limit) noexcept;

/// \brief Projected load of the best upstream for a generation.
struct projected_load
{
    /// \brief Projected share of the upstream's memory, with this generation.
    double fullness = 0.0;
    /// \brief Share of memory that others may need beyond that while this generation runs.
    double growth_reserve = 0.0;
    /// \brief Estimated time until its first event there.
    state::duration time_to_first_event{};
    /// \brief The part of it that others' prompts take.
    state::duration reading_before{};
};

/// \brief Returns what keeps a generation from being sent now, if anything.
///
/// A call in an upstream's queue can't be sent elsewhere any more, nor others before it. So it
/// waits in the entry VM while prompts before it would take the objective; one that is too long for
/// the objective by itself is sent where no other is read.
///
/// Example: `if (limit_for(objective, {0.8, 0.1, 400ms, 0ms}) == admission_limit::none) { ... }`
[[nodiscard]] admission_limit limit_for(state::duration objective,
                                        projected_load const& load) noexcept;

} // namespace plumdale::coordination
