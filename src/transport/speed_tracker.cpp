#include "speed_tracker.hpp"

#include "metrics.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

namespace plumdale::transport
{
namespace
{

using namespace coordination;

std::int64_t percent(double factor)
{
    return static_cast<std::int64_t>(100.0 * factor);
}

} // namespace

// A VM routes over a part of a large service's upstreams and needs no more rows than that.
std::vector<state::member_key> speed_tracker::members_of(state::service const& service) const
{
    if (core_.subset.divides(service.name))
    {
        return core_.subset.own_part(service.name, core_.settings.zone);
    }
    auto const members = core_.directory.members_of(service.name);
    return {members.begin(), members.end()};
}

bool speed_tracker::is_routed_over(state::member_key member) const
{
    directory_entry const* const entry = core_.directory.find(member);
    if (entry == nullptr || !core_.subset.divides(entry->info.service))
    {
        return entry != nullptr;
    }
    double const share = core_.subset.share(entry->info.service, entry->info.zone);
    return upstream_subset::contains(core_.self, member, share);
}

void speed_tracker::apply_update(fleet_update const& update, state::time_point now)
{
    if (core_.hints.speeds == nullptr)
    {
        return;
    }
    std::vector<speed_row> rows = update.speeds;
    std::erase_if(rows, [this](speed_row const& each) { return !is_routed_over(each.member); });
    core_.speeds.apply_update(update.sender, rows, now);
}

void speed_tracker::add_rows(fleet_update& update, state::time_point now) const
{
    if (core_.hints.speeds != nullptr)
    {
        std::size_t const room = fleet_update::max_speeds - update.loads.size() / 2;
        update.speeds = core_.speeds.own_rows(room, now);
    }
}

void speed_tracker::advance(state::time_point now)
{
    if (core_.hints.speeds == nullptr || now < next_estimate_at_)
    {
        return;
    }
    next_estimate_at_ = now + estimate_interval;
    core_.speeds.sweep(now);
    for (state::service const& service : core_.routing->configuration().services)
    {
        if (service.engine)
        {
            log_changes(core_.speeds.estimate(members_of(service), now));
        }
    }
}

void speed_tracker::log_changes(std::span<speed_change const> changes)
{
    for (speed_change const& each : changes.first(std::min(changes.size(), max_logged_changes)))
    {
        directory_entry const* const entry = core_.directory.find(each.member);
        core_.log.write("speed", each.is_slow ? "upstream slow" : "upstream slow no longer", {},
                        {{"upstream", entry == nullptr ? std::string_view{} : entry->info.name},
                         {"prefill_percent", percent(each.factors.prefill)},
                         {"pace_percent", percent(each.factors.pace)},
                         {"known", static_cast<std::int64_t>(core_.speeds.known_count())},
                         {"slow", static_cast<std::int64_t>(core_.speeds.slow_count())}});
    }
}

std::string speed_metrics_text(forward_core const& core)
{
    return gauge_text("plumdale_forward_upstreams_speed_known",
                      static_cast<double>(core.speeds.known_count()),
                      "Upstreams whose speed is known.") +
           gauge_text("plumdale_forward_upstreams_slow",
                      static_cast<double>(core.speeds.slow_count()),
                      "Upstreams that are slow beside others of their service.");
}

} // namespace plumdale::transport
