#include <plumdale/coordination/copy_schedule.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Fixed cost of a copy: its order, answer and set-up at both ends.
constexpr state::duration copy_overhead = std::chrono::milliseconds{4};
// First copies take longer than the tokens known at the notice imply: some destinations are in
// other zones, and running generations add tokens meanwhile.
constexpr double first_copies_factor = 2.0;
// No generation waits this long for its copy; the times of configured sizes and speeds that are far
// off would overflow.
constexpr std::chrono::duration<double> longest_transfer = std::chrono::hours{24};

} // namespace

state::duration copy_duration(state::engine_limits const& engine, std::uint64_t tokens,
                              bool to_other_zone) noexcept
{
    constexpr double bits_per_byte = 8.0;
    constexpr double bits_per_megabit = 1e6;
    if (engine.link_megabits <= 0.0)
    {
        return copy_overhead;
    }
    double const bits = static_cast<double>(tokens) * engine.bytes_per_token * bits_per_byte;
    double const seconds = bits / (engine.link_megabits * bits_per_megabit);
    double const zone_factor = to_other_zone ? 2.0 : 1.0;
    std::chrono::duration<double> const transfer{seconds * zone_factor};
    return copy_overhead +
           std::chrono::duration_cast<state::duration>(std::min(transfer, longest_transfer));
}

state::time_point departure_time(departure const& leaving) noexcept
{
    return leaving.leaves_at.value_or(leaving.learnt_at + min_notice - max_notice_delay);
}

state::time_point latest_departure_time(departure const& leaving) noexcept
{
    return leaving.leaves_at.value_or(leaving.learnt_at + max_notice);
}

copy_schedule schedule_copies(departure const& leaving, state::engine_limits const& engine,
                              std::uint64_t fleet_tokens, std::uint32_t fleet_calls) noexcept
{
    // A copy is dropped after `copy_lifetime`. If it had to wait for more than half of it, the
    // generation is moved early instead.
    bool const is_near =
        leaving.leaves_at && *leaving.leaves_at - leaving.learnt_at <= engine.copy_lifetime / 2;
    if (is_near)
    {
        return {*leaving.leaves_at - refresh_lead, *leaving.leaves_at + overdue_after};
    }
    state::duration const one_by_one = copy_duration(engine, fleet_tokens, false);
    auto const first_copies = std::chrono::duration_cast<state::duration>(
        first_copies_factor * one_by_one + fleet_calls * copy_overhead);
    state::duration const wait = std::max(first_copies, departure_report_delay);
    state::time_point const latest =
        departure_time(leaving) - departure_margin - fleet_calls * last_copy_duration;
    return {state::never, std::max(leaving.learnt_at, std::min(leaving.learnt_at + wait, latest))};
}

} // namespace plumdale::coordination
