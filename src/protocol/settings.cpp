#include "object_reader.hpp"

#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/settings.hpp>

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>

namespace plumdale::protocol
{
namespace
{

constexpr std::size_t min_fleet_key_length = 16;

constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t day_ms = 24 * hour_ms;

/// \brief A duration in `node_settings`, with its key and its bounds in milliseconds.
struct duration_row
{
    std::string_view name;
    state::duration coordination::node_settings::*member;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

using node = coordination::node_settings;

constexpr std::array<duration_row, 27> durations{{
    {"configuration_interval_ms", &node::configuration_interval, 10, hour_ms},
    {"vm_list_interval_ms", &node::vm_list_interval, 10, hour_ms},
    {"load_interval_ms", &node::load_interval, 10, hour_ms},
    {"subset_load_interval_ms", &node::subset_load_interval, 10, hour_ms},
    {"first_token_timeout_ms", &node::first_token_timeout, 10, hour_ms},
    {"token_timeout_ms", &node::token_timeout, 10, hour_ms},
    {"remember_finished_ms", &node::remember_finished, 0, day_ms},
    {"probe_interval_ms", &node::probe_interval, 10, hour_ms},
    {"probe_timeout_ms", &node::probe_timeout, 1, hour_ms},
    {"suspicion_time_ms", &node::suspicion_time, 10, hour_ms},
    {"remember_dead_ms", &node::remember_dead, 10, day_ms},
    {"watch_wait_ms", &node::watch_wait, 0, hour_ms},
    {"switch_settle_ms", &node::switch_settle, 0, hour_ms},
    {"switch_wait_ms", &node::switch_wait, 10, hour_ms},
    {"catch_up_wait_ms", &node::catch_up_wait, 0, hour_ms},
    {"idle_read_interval_ms", &node::idle_read_interval, 10, day_ms},
    {"drain_limit_ms", &node::drain_limit, 0, day_ms},
    {"drain_settle_ms", &node::drain_settle, 0, hour_ms},
    {"weight_load_time_ms", &node::weight_load_time, 0, hour_ms},
    {"order_interval_ms", &node::order_interval, 10, hour_ms},
    {"key_window_ms", &node::key_window, 0, day_ms},
    {"key_takeover_delay_ms", &node::key_takeover_delay, 0, hour_ms},
    {"reservation_time_ms", &node::reservation_time, 10, day_ms},
    {"slow_reader_time_ms", &node::slow_reader_time, 10, hour_ms},
    {"reattach_time_ms", &node::reattach_time, 0, hour_ms},
    {"pause_tolerance_ms", &node::pause_tolerance, 10, hour_ms},
    {"pause_hold_ms", &node::pause_hold, 0, hour_ms},
}};

/// \brief A count in `node_settings`, with its key and bounds.
struct count_row
{
    std::string_view name;
    std::uint32_t coordination::node_settings::*member;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

constexpr std::array<count_row, 12> counts{{
    {"threads", &node::shards, 1, 64},
    {"remember_count", &node::remember_count, 0, 10'000'000},
    {"readers_per_zone", &node::readers_per_zone, 1, 1000},
    {"switch_holders", &node::switch_holders, 0, 1000},
    {"switch_zones", &node::switch_zones, 0, 100},
    {"read_all_engines", &node::read_all_engines, 0, 100'000},
    {"readers_per_engine", &node::readers_per_engine, 1, 1000},
    {"vm_list_bytes_per_second", &node::vm_list_bytes_per_second, 100, 100'000'000},
    {"weight_loads_at_once", &node::weight_loads_at_once, 1, 10'000},
    {"key_count", &node::key_count, 0, 10'000'000},
    {"resume_count", &node::resume_count, 0, 100},
    {"probe_count", &node::probe_count, 0, 1000},
}};

void read_node(object_reader& reader, coordination::node_settings& into)
{
    reader.text("fleet_key", into.fleet_key);
    reader.strings("accepted_fleet_keys", into.accepted_fleet_keys);
    reader.endpoint("datagrams", into.self.datagrams);
    reader.endpoint("streams", into.self.streams);
    reader.endpoints("seeds", into.seeds);
    for (duration_row const& row : durations)
    {
        reader.milliseconds(row.name, into.*row.member, row.minimum, row.maximum);
    }
    for (count_row const& row : counts)
    {
        reader.number(row.name, into.*row.member, row.minimum, row.maximum);
    }
}

void read_limits(object_reader& reader, daemon_settings& settings)
{
    reader.number("connection_limit", settings.connection_limit, 1, 1'000'000);
    reader.number("header_limit", settings.header_limit, 1024, 1'048'576);
    reader.number("body_limit", settings.body_limit, 1024, 67'108'864);
    reader.number("caller_buffer", settings.caller_buffer, 1024, 16'777'216);
    reader.milliseconds("idle_timeout_ms", settings.idle_timeout, 10, day_ms);
    reader.milliseconds("request_timeout_ms", settings.request_timeout, 10, hour_ms);
    reader.milliseconds("drain_linger_ms", settings.drain_linger, 0, hour_ms);
}

void check_keys(object_reader& reader, daemon_settings const& settings)
{
    if (settings.node.fleet_key.size() < min_fleet_key_length)
    {
        reader.add_error("fleet_key", "a short key", "at least 16 characters");
    }
    for (std::string const& key : settings.node.accepted_fleet_keys)
    {
        if (key.size() < min_fleet_key_length)
        {
            reader.add_error("accepted_fleet_keys", "a short key", "at least 16 characters each");
        }
    }
    if (!settings.operator_key_sha256.empty() && !parse_digest(settings.operator_key_sha256))
    {
        reader.add_error("operator_key_sha256", "a malformed digest", "64 hexadecimal digits");
    }
}

} // namespace

daemon_settings decode_settings(std::string_view text, std::vector<settings_error>& errors)
{
    static constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    static constexpr std::array<std::string_view, 2> formats{"text", "json"};
    static constexpr std::array<std::string_view, 2> policies{"projected_memory",
                                                              "least_in_flight"};
    daemon_settings settings;
    boost::json::error_code error;
    boost::json::value const parsed = boost::json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object())
    {
        errors.push_back({"", error ? error.message() : "no object", "one JSON object"});
        return settings;
    }
    object_reader reader{parsed.as_object(), errors};
    for (std::string_view const name :
         {"zone", "callers", "datagrams", "streams", "platform", "fleet_key"})
    {
        reader.require(name);
    }
    reader.text("zone", settings.zone);
    reader.endpoint("callers", settings.callers);
    reader.endpoint("platform", settings.platform);
    reader.text("operator_key_sha256", settings.operator_key_sha256);
    reader.choice("log_level", settings.log_level, levels);
    reader.choice("log_format", settings.log_format, formats);
    reader.choice("policy", settings.policy, policies);
    read_node(reader, settings.node);
    read_limits(reader, settings);
    reader.reject_unknown_keys();
    check_keys(reader, settings);
    settings.node.self.zone = state::id_from_name<state::zone_id>(settings.zone);
    settings.node.self.id =
        state::id_from_name<state::node_id>(to_text(settings.node.self.datagrams));
    return settings;
}

} // namespace plumdale::protocol
