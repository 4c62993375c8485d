#pragma once

#include <chrono>

/// \file
/// \brief The clock that every decision is timed by.

namespace plumdale::state
{

/// \brief Tag of the clock that drivers inject. It never steps back and has no `now()`: the time is
/// passed in with each event.
struct injected_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<injected_clock>;
    static constexpr bool is_steady = true;
};

using duration = injected_clock::duration;
using time_point = injected_clock::time_point;

/// \brief A time that is never reached: "no deadline".
inline constexpr time_point never = time_point::max();

} // namespace plumdale::state
