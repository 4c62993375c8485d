#include <plumdale/coordination/load_parts.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

using state::route;
using state::routing_configuration;

constexpr std::string_view not_allowed = "the settings don't allow it";
constexpr std::string_view not_configured = "no configuration yet";

state::engine_limits const* engine_of(routing_configuration const& configuration, route const& from)
{
    for (state::weighted_service const& share : from.services)
    {
        auto const found = std::find_if(
            configuration.services.begin(), configuration.services.end(),
            [&share](state::service const& each) { return each.name == share.service; });
        if (found != configuration.services.end() && found->engine)
        {
            return &*found->engine;
        }
    }
    return nullptr;
}

bool is_generating(routing_configuration const& configuration, route const& from)
{
    return from.kind == state::call_kind::streaming && engine_of(configuration, from) != nullptr;
}

bool bounds_gaps(routing_configuration const& configuration)
{
    return std::any_of(configuration.routes.begin(), configuration.routes.end(),
                       [&configuration](route const& each) {
                           return each.target_gap > state::duration::zero() &&
                                  is_generating(configuration, each);
                       });
}

bool has_short_calls(routing_configuration const& configuration)
{
    return std::any_of(configuration.routes.begin(), configuration.routes.end(),
                       [](route const& each)
                       { return each.timeout < load_parts::min_time_for_own_findings; });
}

bool shares_service(route const& one, route const& other)
{
    return std::any_of(one.services.begin(), one.services.end(),
                       [&other](state::weighted_service const& share)
                       {
                           return std::any_of(other.services.begin(), other.services.end(),
                                              [&share](state::weighted_service const& each)
                                              { return each.service == share.service; });
                       });
}

bool goes_after(route const& patient, route const& urgent)
{
    return patient.priority > urgent.priority && shares_service(patient, urgent);
}

bool has_ranks(routing_configuration const& configuration)
{
    for (route const& patient : configuration.routes)
    {
        bool const waits = is_generating(configuration, patient) &&
                           std::any_of(configuration.routes.begin(), configuration.routes.end(),
                                       [&](route const& urgent) {
                                           return is_generating(configuration, urgent) &&
                                                  goes_after(patient, urgent);
                                       });
        if (waits)
        {
            return true;
        }
    }
    return false;
}

bool moves_generations(routing_configuration const& configuration)
{
    return std::any_of(configuration.services.begin(), configuration.services.end(),
                       [](state::service const& each)
                       { return each.engine && each.engine->live_migration; });
}

struct condition_row
{
    std::string_view condition;
    bool (*holds)(routing_configuration const&);
};

constexpr std::array<condition_row, load_part_count> conditions{{
    {"a streaming route of an engine service bounds the gap between events", bounds_gaps},
    {"a route's calls end before three upstreams that don't answer are given up", has_short_calls},
    {"a streaming route has a lower rank than another on its service", has_ranks},
    {"an engine service can move generations", moves_generations},
}};

} // namespace

load_parts::load_parts(load_part_settings const& allowed) noexcept
{
    allow(allowed);
}

void load_parts::allow(load_part_settings const& allowed) noexcept
{
    allowed_ = allowed;
    for (std::size_t i = 0; i < load_part_count; ++i)
    {
        statuses_[i] = {false, allowed_[i] ? not_configured : not_allowed};
    }
}

void load_parts::configure(state::routing_configuration const& configuration)
{
    for (std::size_t i = 0; i < load_part_count; ++i)
    {
        if (allowed_[i])
        {
            statuses_[i] = {conditions[i].holds(configuration), conditions[i].condition};
        }
    }
}

std::string_view load_parts::condition(load_part part) noexcept
{
    return conditions[static_cast<std::size_t>(part)].condition;
}

} // namespace plumdale::coordination
