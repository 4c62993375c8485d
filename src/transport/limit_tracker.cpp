#include "limit_tracker.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <array>
#include <cmath>

namespace plumdale::transport
{
namespace
{

using coordination::limit_change;

constexpr std::string_view own = "own call";
constexpr std::string_view peer = "fleet";
constexpr std::array<std::string_view, 4> decisions{"", "stated", "another value", "ended"};

} // namespace

std::int64_t per_minute(std::optional<double> per_second)
{
    constexpr double seconds = 60.0;
    // No VM sends more, and the result still fits its type.
    constexpr double max_per_minute = 1e9;
    return per_second ? std::llround(std::min(max_per_minute, seconds * *per_second)) : -1;
}

limit_tracker::limit_tracker(coordination::fleet_view const& fleet, state::node_id self,
                             coordination::service_directory const& directory, decision_log& log,
                             std::string_view part)
    : fleet_{fleet}, directory_{directory}, log_{log}, part_{part}, known_{fleet, self}
{
}

void limit_tracker::answered(state::member_key member, std::optional<double> per_second)
{
    log_change(known_.answered(member, per_second, boot_now()), member, {}, own);
    on_changed();
}

void limit_tracker::apply_updates(std::span<state::stated_limit const> received)
{
    for (state::stated_limit const& each : received)
    {
        log_change(known_.apply_update(each, boot_now()), each.member, each.age, peer);
    }
}

void limit_tracker::sweep()
{
    known_.sweep(boot_now());
}

void limit_tracker::log_change(limit_change change, state::member_key member, state::duration age,
                               std::string_view source)
{
    if (change == limit_change::none)
    {
        return;
    }
    coordination::directory_entry const* const entry = directory_.find(member);
    auto const limit = known_.limit_of(member);
    std::size_t const vms = fleet_.peers().size() + 1;
    log_.write(part_, decisions[static_cast<std::size_t>(change)], {},
               {{"upstream", entry == nullptr ? std::string_view{} : entry->info.name},
                {"per_minute", per_minute(limit)},
                {"senders", static_cast<std::int64_t>(coordination::upstream_limits::sender_count(
                                limit.value_or(0.0), vms))},
                {"vms", static_cast<std::int64_t>(vms)},
                {"age_ms", whole_milliseconds(age)},
                {"source", source}});
}

} // namespace plumdale::transport
