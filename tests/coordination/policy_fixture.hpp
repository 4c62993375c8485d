#pragma once

#include <plumdale/coordination/projected_memory_policy.hpp>

#include <memory>

/// \file
/// \brief A small fleet for tests of policies.

namespace plumdale::coordination::testing
{

inline constexpr state::model_id lists = state::id_from_name<state::model_id>("lists");
inline constexpr state::zone_id zone_a = state::id_from_name<state::zone_id>("a");
inline constexpr state::zone_id zone_b = state::id_from_name<state::zone_id>("b");

inline state::time_point at(double seconds)
{
    return state::time_point{std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>{1000.0 + seconds})};
}

/// \brief Updates a gauge with the report of an engine of 4,096 blocks.
inline void report(upstream_gauge& gauge, std::uint32_t used, std::uint32_t running,
                   state::time_point when)
{
    gauge.blocks_total = 4096;
    gauge.blocks_used = used;
    gauge.running = running;
    gauge.reported_at = when.time_since_epoch().count();
    ++gauge.report_sequence;
}

/// \brief Creates empty engines, alternately in zones a and b, that are past their slow start.
inline fleet_snapshot fleet_of(std::uint32_t engines)
{
    fleet_snapshot fleet;
    fleet.ready = true;
    for (std::uint32_t i = 0; i < engines; ++i)
    {
        upstream_view view;
        view.info.id = state::upstream_id{i + 1};
        view.info.zone = i % 2 == 0 ? zone_a : zone_b;
        view.info.model = lists;
        view.gauge = std::make_shared<upstream_gauge>();
        report(*view.gauge, 0, 0, at(0));
        fleet.upstreams.push_back(view);
    }
    return fleet;
}

inline state::request request_of(state::work_kind kind, std::uint32_t prompt = 400)
{
    state::request request;
    request.kind = kind;
    request.model = lists;
    request.customer = state::customer_id{1};
    request.prompt_tokens = prompt;
    return request;
}

inline dispatch_attempt first_attempt(state::request const& request, state::time_point now)
{
    return {request, now, 0, {}};
}

} // namespace plumdale::coordination::testing
