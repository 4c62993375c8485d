#include <plumdale/protocol/admin_codec.hpp>
#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/generation_text.hpp>
#include <plumdale/protocol/json_reader.hpp>
#include <plumdale/protocol/role_text.hpp>

#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <array>

namespace plumdale::protocol
{
namespace
{

using coordination::fleet_snapshot;
using coordination::switch_outcome;
using coordination::upstream_view;
namespace json = boost::json;

std::string_view health_name(state::member_health health) noexcept
{
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "leaving", "dead"};
    return names[static_cast<std::size_t>(health)];
}

std::string preset_name(state::preset_id id, fleet_snapshot const& fleet)
{
    auto const found =
        std::find_if(fleet.presets.begin(), fleet.presets.end(),
                     [id](state::preset const& each)
                     { return state::id_from_name<state::preset_id>(each.name) == id; });
    return found == fleet.presets.end() ? to_hex(id.value) : found->name;
}

json::object stamp_object(state::preset_stamp const& stamp)
{
    return {{"revision", stamp.revision},
            {"count", stamp.count},
            {"operator", to_hex(stamp.operator_id)}};
}

json::object named_stamp(state::preset_stamp const& stamp, fleet_snapshot const& fleet)
{
    json::object object = stamp_object(stamp);
    object["preset"] = preset_name(stamp.preset, fleet);
    return object;
}

std::string zone_name(state::zone_id zone, node_status const& node)
{
    return zone == node.self.zone ? std::string{node.zone} : to_hex(zone.value);
}

json::object member_object(state::member const& member, node_status const& node)
{
    return {{"id", to_hex(member.id.value)},
            {"zone", zone_name(member.zone, node)},
            {"datagrams", to_text(member.datagrams)},
            {"incarnation", member.incarnation_number.value},
            {"health", health_name(member.health)}};
}

json::object upstream_object(upstream_view const& view, node_status const& node)
{
    state::upstream const& info = view.info;
    json::object object{{"name", info.name},
                        {"kind", info.kind == state::upstream_kind::engine ? "engine" : "service"},
                        {"zone", zone_name(info.zone, node)},
                        {"model", info.model_name},
                        {"address", to_text(info.address)},
                        {"accepting", view.accepting},
                        {"leaving", info.leaving}};
    if (view.gauge == nullptr)
    {
        return object;
    }
    coordination::upstream_gauge const& gauge = *view.gauge;
    std::uint32_t const block = std::max<std::uint32_t>(gauge.block_tokens.load(), 1);
    // The last horizon point is the furthest ahead; admission uses this one.
    std::int64_t const growth_tokens = gauge.projected.back().load() - gauge.held_tokens.load();
    std::int64_t const growth_blocks = std::max<std::int64_t>(growth_tokens, 0) / block;
    object["running"] = gauge.running.load();
    object["waiting"] = gauge.waiting.load();
    object["preemptions"] = gauge.preemptions.load();
    object["blocks_total"] = gauge.blocks_total.load();
    object["blocks_used"] = gauge.blocks_used.load();
    object["blocks_projected"] = gauge.blocks_used.load() + growth_blocks;
    object["in_flight"] = gauge.in_flight.load();
    return object;
}

json::object assignment_object(state::engine_assignment const& each, fleet_snapshot const& fleet)
{
    auto const served = fleet.upstreams_of(each.model);
    return {{"model", served.empty() ? to_hex(each.model.value) : served.front().info.model_name},
            {"role", role_name(each.role)},
            {"percent", each.percent},
            {"version", each.version},
            {"adapter", each.adapter}};
}

std::int64_t milliseconds(state::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

struct outcome_row
{
    switch_outcome outcome;
    state::error_kind kind;
};

constexpr std::array<outcome_row, 5> outcome_rows{{
    {switch_outcome::not_accepted, state::error_kind::not_accepted},
    {switch_outcome::superseded, state::error_kind::superseded},
    {switch_outcome::unknown_preset, state::error_kind::unknown_preset},
    {switch_outcome::not_allowed, state::error_kind::not_allowed},
    {switch_outcome::not_ready, state::error_kind::not_ready},
}};

// Returns the error of a switch that was not accepted; null for an accepted one.
state::error_answer const* error_of(switch_outcome outcome) noexcept
{
    for (outcome_row const& row : outcome_rows)
    {
        if (row.outcome == outcome)
        {
            return &state::answer_for(row.kind);
        }
    }
    return nullptr;
}

} // namespace

std::string_view readiness_name(fleet_snapshot const& fleet) noexcept
{
    if (fleet.draining)
    {
        return "draining";
    }
    return fleet.ready ? "ready" : "not_ready";
}

std::string status_body(node_status const& node, fleet_snapshot const& fleet)
{
    json::object self{{"id", to_hex(node.self.id.value)},
                      {"zone", node.zone},
                      {"incarnation", node.self.incarnation_number.value},
                      {"datagrams", to_text(node.self.datagrams)},
                      {"health", readiness_name(fleet)}};
    json::array presets;
    for (state::preset const& each : fleet.presets)
    {
        presets.emplace_back(each.name);
    }
    json::array members;
    for (state::member const& each : fleet.members)
    {
        members.emplace_back(member_object(each, node));
    }
    json::array upstreams;
    for (upstream_view const& each : fleet.upstreams)
    {
        upstreams.emplace_back(upstream_object(each, node));
    }
    return json::serialize(json::object{{"node", std::move(self)},
                                        {"stamp", named_stamp(fleet.stamp, fleet)},
                                        {"in_force", named_stamp(fleet.in_force, fleet)},
                                        {"presets", std::move(presets)},
                                        {"platform_reachable", fleet.platform_reachable},
                                        {"in_flight", node.in_flight},
                                        {"members", std::move(members)},
                                        {"upstreams", std::move(upstreams)}});
}

std::string preset_body(state::preset const& preset, fleet_snapshot const& fleet)
{
    json::array assignments;
    for (state::engine_assignment const& each : preset.assignments)
    {
        assignments.emplace_back(assignment_object(each, fleet));
    }
    return json::serialize(json::object{{"name", preset.name},
                                        {"overflow_chance", preset.overflow_chance},
                                        {"horizon_ms", milliseconds(preset.horizon)},
                                        {"question_headroom", preset.question_headroom},
                                        {"max_batch", preset.max_batch},
                                        {"draft_wait_ms", milliseconds(preset.draft_wait)},
                                        {"retry_percent", preset.retry_percent},
                                        {"retry_after_ms", milliseconds(preset.retry_after)},
                                        {"assignments", std::move(assignments)}});
}

state::result<switch_request> decode_switch_request(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(body));
    json::string const* const preset = find_string(object, "preset");
    if (preset == nullptr || preset->empty())
    {
        return state::failure{state::error_kind::invalid_request, "preset: a name is wanted"};
    }
    return switch_request{state::id_from_name<state::preset_id>(std::string_view{*preset}),
                          number_or(object, "over_revision", 0)};
}

unsigned http_status_of(switch_outcome outcome) noexcept
{
    state::error_answer const* const row = error_of(outcome);
    return row == nullptr ? 200 : row->status;
}

std::string switch_body(coordination::switch_answer const& answer,
                        coordination::fleet_snapshot const& fleet)
{
    json::array holders;
    for (state::node_id const each : answer.holders)
    {
        holders.emplace_back(to_hex(each.value));
    }
    json::array missing;
    for (state::zone_id const each : answer.zones_missing)
    {
        missing.emplace_back(to_hex(each.value));
    }
    state::error_answer const* const row = error_of(answer.outcome);
    return json::serialize(json::object{{"outcome", row == nullptr ? "accepted" : row->name},
                                        {"stamp", named_stamp(answer.stamp, fleet)},
                                        {"holders", std::move(holders)},
                                        {"zones_missing", std::move(missing)}});
}

} // namespace plumdale::protocol
