#include "object_reader.hpp"

#include <plumdale/protocol/forward_settings.hpp>

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>

namespace plumdale::protocol
{
namespace
{

constexpr std::string_view forward_mode = "forward";
constexpr std::size_t min_fleet_key_length = 16;
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr double hour_s = 3'600.0;

boost::json::value parsed(std::string_view text)
{
    boost::json::error_code error;
    boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    return error ? boost::json::value{} : value;
}

void read_retry_limit(object_reader& reader, coordination::fleet_retry_limit& into)
{
    reader.real("repeat_ratio", into.ratio, 0.0, 10.0);
    reader.real("repeat_slack", into.slack, 0.0, 1e6);
    reader.seconds("repeat_window_s", into.window, 0.1, hour_s);
}

void read_pace(object_reader& reader, coordination::engine_pace& into)
{
    constexpr double longest_ms = 10'000.0;
    reader.real("engine_prompt_tokens_per_ms", into.prompt_tokens_per_ms, 1e-3, 1e6);
    reader.real("engine_step_ms", into.step_ms, 1e-3, longest_ms);
    reader.real("engine_call_ms", into.call_ms, 0.0, longest_ms);
    reader.real("engine_chunk_ms", into.chunk_ms, 0.0, longest_ms);
}

void read_parts(object_reader& reader, coordination::load_part_settings& into)
{
    std::vector<std::string> names;
    reader.strings("load_parts", names);
    for (std::string const& name : names)
    {
        auto const known = std::find(coordination::load_part_names.begin(),
                                     coordination::load_part_names.end(), name);
        if (known == coordination::load_part_names.end())
        {
            reader.add_error("load_parts", boost::json::value{name}, "names of load parts");
            continue;
        }
        into[static_cast<std::size_t>(known - coordination::load_part_names.begin())] = true;
    }
}

} // namespace

bool is_forward_settings(std::string_view text)
{
    boost::json::value const value = parsed(text);
    if (!value.is_object())
    {
        return false;
    }
    boost::json::value const* const mode = value.as_object().if_contains("mode");
    return mode != nullptr && mode->is_string() &&
           std::string_view{mode->as_string()} == forward_mode;
}

forward_settings decode_forward_settings(std::string_view text, std::vector<settings_error>& errors)
{
    forward_settings settings;
    boost::json::value const value = parsed(text);
    if (!value.is_object())
    {
        errors.push_back({"", "no object", "one JSON object"});
        return settings;
    }
    object_reader reader{value.as_object(), errors};
    for (std::string_view const name :
         {"name", "zone", "callers", "ready", "datagrams", "streams", "platform", "fleet_key"})
    {
        reader.require(name);
    }
    std::string mode{forward_mode};
    static constexpr std::array<std::string_view, 1> modes{forward_mode};
    reader.choice("mode", mode, modes);
    reader.text("name", settings.name);
    reader.text("zone", settings.zone);
    reader.text("fleet_key", settings.fleet_key);
    reader.endpoint("callers", settings.callers);
    reader.endpoint("ready", settings.ready);
    reader.endpoint("datagrams", settings.datagrams);
    reader.endpoint("streams", settings.streams);
    reader.endpoint("platform", settings.platform);
    reader.endpoint("upstream_source", settings.upstream_source);
    reader.endpoints("seeds", settings.seeds);
    reader.seconds("grace_s", settings.grace, 0.0, hour_s);
    reader.milliseconds("event_delay_ms", settings.event_delay, 1, hour_ms);
    reader.real("load_news_bytes_per_s", settings.load_news_bytes_per_second, 1e3, 1e9);
    reader.number("descriptors", settings.descriptors, 0, UINT32_MAX);
    reader.real("link_mbps", settings.link_mbps, 0.0, 1e9);
    read_retry_limit(reader, settings.retry_limit);
    read_pace(reader, settings.pace);
    read_parts(reader, settings.parts);
    reader.reject_unknown_keys();
    if (settings.fleet_key.size() < min_fleet_key_length)
    {
        reader.add_error("fleet_key", "a short key", "at least 16 characters");
    }
    for (state::endpoint& seed : settings.seeds)
    {
        seed.port = settings.datagrams.port;
    }
    return settings;
}

} // namespace plumdale::protocol
