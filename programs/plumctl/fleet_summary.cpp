#include "fleet_summary.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace plumdale::plumctl
{
namespace
{

/// \brief Configuration and directory of an entry VM that is up to date.
struct expected_state
{
    std::uint64_t configuration = 0;
    std::string directory_digest;
};

expected_state expected_state_of(std::span<entry_status const> entries)
{
    expected_state expected;
    std::map<std::string, std::size_t> directories;
    for (entry_status const& entry : entries)
    {
        expected.configuration = std::max(expected.configuration, entry.configuration);
        ++directories[entry.directory_digest];
    }
    auto const most_common =
        std::max_element(directories.begin(), directories.end(),
                         [](auto const& a, auto const& b) { return a.second < b.second; });
    if (most_common != directories.end())
    {
        expected.directory_digest = most_common->first;
    }
    return expected;
}

bool is_lagging(entry_status const& entry, expected_state const& expected)
{
    return !entry.is_ready || entry.configuration != expected.configuration ||
           entry.directory_digest != expected.directory_digest;
}

} // namespace

std::vector<zone_summary> summarize_zones(std::span<entry_status const> entries)
{
    expected_state const expected = expected_state_of(entries);
    std::map<std::string, zone_summary> zones;
    for (entry_status const& entry : entries)
    {
        zone_summary& zone = zones[entry.zone];
        zone.zone = entry.zone;
        ++zone.entry_count;
        zone.ready += entry.is_ready ? 1 : 0;
        zone.readers += entry.is_active_reader ? 1 : 0;
        zone.on_newest_configuration += entry.configuration == expected.configuration ? 1 : 0;
        zone.on_majority_directory += entry.directory_digest == expected.directory_digest ? 1 : 0;
        zone.max_platform_age_ms =
            std::max(zone.max_platform_age_ms, entry.platform_age_ms.value_or(0));
        zone.calls += entry.calls;
    }
    std::vector<zone_summary> rows;
    for (auto& [name, zone] : zones)
    {
        rows.push_back(std::move(zone));
    }
    return rows;
}

std::vector<entry_status> lagging_entries(std::span<entry_status const> entries,
                                          std::size_t max_count)
{
    expected_state const expected = expected_state_of(entries);
    std::vector<entry_status> found;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(found),
                 [&expected](entry_status const& entry) { return is_lagging(entry, expected); });
    std::sort(found.begin(), found.end(),
              [](entry_status const& a, entry_status const& b)
              {
                  return std::tie(a.is_ready, a.configuration, a.name) <
                         std::tie(b.is_ready, b.configuration, b.name);
              });
    found.resize(std::min(found.size(), max_count));
    return found;
}

} // namespace plumdale::plumctl
