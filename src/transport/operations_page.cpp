#include "operations_page.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/state/store_position.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace plumdale::transport
{
namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 3> kind_names{"idempotent", "non_idempotent", "streaming"};

// There is no age before this VM has data of the platform.
json::value platform_age(forward_core const& core, state::time_point now)
{
    return core.can_route() ? json::value{whole_milliseconds(core.platform_age(now))}
                            : json::value{};
}

json::array evacuation_rows(forward_core const& core)
{
    json::array rows;
    for (state::evacuation const& each : core.directory.evacuations().known().in_force)
    {
        rows.push_back(
            {{"zone", core.name_of(each.zone)}, {"revision", state::revision_in(each.revision)}});
    }
    return rows;
}

json::array cut_zones(forward_core const& core)
{
    json::array zones;
    for (state::zone_id const zone : core.cut_zones(boot_now()))
    {
        zones.push_back(json::value{core.name_of(zone)});
    }
    return zones;
}

json::array part_rows(forward_core const& core)
{
    json::array rows;
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        auto const& status = core.parts.status(static_cast<coordination::load_part>(i));
        rows.push_back({{"name", coordination::load_part_names[i]},
                        {"on", status.is_on},
                        {"because", status.because}});
    }
    return rows;
}

json::array waiting_rows(forward_core const& core, state::time_point now)
{
    json::array rows;
    for (coordination::waiting_row const& each : core.waiting.own_rows(now))
    {
        rows.push_back({{"rank", each.rank},
                        {"calls", each.calls},
                        {"oldest_ms", whole_milliseconds(each.oldest)}});
    }
    return rows;
}

json::object entry_object(forward_core const& core)
{
    state::time_point const now = boot_now();
    return {{"name", core.settings.name},
            {"zone", core.settings.zone},
            {"ready", core.can_route() && core.closing_since == state::never},
            {"configuration", core.version()},
            {"platform_age_ms", platform_age(core, now)},
            {"reads_platform", core.fleet.is_reader()},
            {"directory", std::to_string(core.directory.digest())},
            {"evacuations", evacuation_rows(core)},
            {"evacuations_as_of", state::revision_in(core.directory.evacuations().known().as_of)},
            {"store_era", state::era_in(core.directory.evacuations().known().as_of)},
            {"requests_quarantined", core.quarantine.known().requests.refused_count()},
            {"parts_quarantined", core.quarantine.known().prompts.refused_count()},
            {"live_entry_vms", core.fleet.live_count(now)},
            {"reaches_upstreams", !core.reach.is_lost()},
            {"cut_zones", cut_zones(core)},
            {"peer_calls_in_progress", core.peer_calls_in_progress},
            {"calls_in_progress", core.calls_in_progress},
            {"waiting", waiting_rows(core, now)},
            {"parts", part_rows(core)}};
}

json::array route_rows(forward_core const& core)
{
    json::array rows;
    if (core.routing == nullptr)
    {
        return rows;
    }
    for (state::route const& route : core.routing->configuration().routes)
    {
        json::array services;
        for (state::weighted_service const& each : route.services)
        {
            services.push_back({{"service", each.service}, {"weight", each.weight}});
        }
        rows.push_back({{"name", route.name},
                        {"host", route.host},
                        {"prefix", route.prefix},
                        {"kind", kind_names[static_cast<std::size_t>(route.kind)]},
                        {"timeout_ms", whole_milliseconds(route.timeout)},
                        {"objective_ms", whole_milliseconds(route.target_latency)},
                        {"services", std::move(services)}});
    }
    return rows;
}

json::object upstream_object(forward_core const& core, coordination::directory_entry const& entry)
{
    state::member_key const key = state::key_of(entry.info);
    coordination::member_load const load = core.ledger.total(key);
    state::time_point const now = boot_now();
    json::object row{
        {"name", entry.info.name},
        {"service", entry.info.service},
        {"started", entry.info.started.value},
        {"zone", entry.info.zone},
        {"address", protocol::to_text(entry.info.address)},
        {"state", !entry.info.listed   ? "gone"
                  : entry.info.leaving ? "leaving"
                                       : "listed"},
        {"takes_work", core.directory.may_take_work(entry, now)},
        {"evacuated", core.directory.is_evacuated(entry)},
        {"stated_limit_per_minute", per_minute(core.limits.known().limit_of(key))},
        {"backoff_ms", whole_milliseconds(core.backoffs.left(key, now))},
        {"set_aside", core.health.penalty(key, now)},
        {"suspected", core.hints.suspicions != nullptr && core.suspicions.is_suspected(key, now)},
        {"fleet_calls", load.calls},
        {"fleet_tokens", load.tokens},
        {"own_calls", core.ledger.own(key).calls}};
    state::service const* const service =
        core.routing == nullptr ? nullptr : core.routing->find_service(entry.info.service);
    if (service != nullptr)
    {
        row["fullness"] = core.selector.fullness(entry, *service, {});
        row["cold"] = core.gate.is_cold(entry, *service, now);
        row["takes_own_request"] = core.gate.may_send(entry, *service, now);
    }
    if (core.hints.speeds != nullptr && service != nullptr && service->engine)
    {
        coordination::speed_factors const speed = core.speeds.factors(key);
        row["prefill_factor"] = speed.prefill;
        row["pace_factor"] = speed.pace;
        row["speed_known"] = speed.is_known;
    }
    return row;
}

json::array upstream_rows(forward_core const& core)
{
    json::array rows;
    for (auto const& [key, entry] : core.directory.entries())
    {
        if (entry.info.listed)
        {
            rows.push_back(upstream_object(core, entry));
        }
    }
    return rows;
}

json::array outcome_rows(forward_core const& core)
{
    json::array rows;
    for (auto const& [route, counts] : core.outcomes.rows())
    {
        json::object row{{"route", route}};
        for (std::size_t i = 0; i < coordination::outcome_names.size(); ++i)
        {
            row[coordination::outcome_names[i]] = counts[i];
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace

std::string status_page(forward_core const& core)
{
    return json::serialize(json::object{{"entry", entry_object(core)},
                                        {"routes", route_rows(core)},
                                        {"upstreams", upstream_rows(core)},
                                        {"outcomes", outcome_rows(core)}});
}

} // namespace plumdale::transport
