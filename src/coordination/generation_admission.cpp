#include <plumdale/coordination/generation_admission.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace plumdale::coordination
{
namespace
{

// The estimated time to the first event is the median. Nine in ten take at most this many times as
// long, since calls of other entry VMs arrive at the same upstream.
constexpr double first_event_margin = 1.5;

state::duration fraction_of(double part, state::duration whole) noexcept
{
    return std::chrono::duration_cast<state::duration>(part * whole);
}

} // namespace

std::string_view limit_name(admission_limit limit) noexcept
{
    constexpr std::array<std::string_view, 3> names{"none", "memory", "first event"};
    return names[static_cast<std::size_t>(limit)];
}

admission_limit limit_for(state::duration objective, projected_load const& load) noexcept
{
    if (load.fullness + load.growth_reserve > 1.0)
    {
        return admission_limit::memory;
    }
    bool const has_objective = objective > state::duration::zero();
    bool const is_prompt = fraction_of(first_event_margin, load.time_to_first_event) <= objective;
    bool const is_alone = load.reading_before == state::duration::zero();
    return !has_objective || is_prompt || is_alone ? admission_limit::none
                                                   : admission_limit::time_to_first_event;
}

// -- time -----------------------------------------------------------------------------------------

state::time_point latest_send(caller_time const& time) noexcept
{
    return std::min(time.read_at + time.silence_timeout - time.reading, time.deadline - time.run);
}

} // namespace plumdale::coordination
