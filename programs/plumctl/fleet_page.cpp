#include "fleet_page.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace plumdale::plumctl
{
namespace
{

/// \brief What an entry VM that is up to date has.
struct fleet_norm
{
    std::uint64_t configuration = 0;
    std::string directory;
};

fleet_norm norm_of(std::span<entry_standing const> entries)
{
    fleet_norm norm;
    std::map<std::string, std::size_t> directories;
    for (entry_standing const& entry : entries)
    {
        norm.configuration = std::max(norm.configuration, entry.configuration);
        ++directories[entry.directory];
    }
    auto const usual =
        std::max_element(directories.begin(), directories.end(),
                         [](auto const& a, auto const& b) { return a.second < b.second; });
    if (usual != directories.end())
    {
        norm.directory = usual->first;
    }
    return norm;
}

bool lags(entry_standing const& entry, fleet_norm const& norm)
{
    return !entry.is_ready || entry.configuration != norm.configuration ||
           entry.directory != norm.directory;
}

} // namespace

std::vector<zone_standing> zones_of(std::span<entry_standing const> entries)
{
    fleet_norm const norm = norm_of(entries);
    std::map<std::string, zone_standing> zones;
    for (entry_standing const& entry : entries)
    {
        zone_standing& zone = zones[entry.zone];
        zone.zone = entry.zone;
        ++zone.entries;
        zone.ready += entry.is_ready ? 1 : 0;
        zone.readers += entry.reads_store ? 1 : 0;
        zone.current += entry.configuration == norm.configuration ? 1 : 0;
        zone.agreeing += entry.directory == norm.directory ? 1 : 0;
        zone.oldest_platform_ms =
            std::max(zone.oldest_platform_ms, entry.platform_age_ms.value_or(0));
        zone.calls += entry.calls;
    }
    std::vector<zone_standing> rows;
    for (auto& [name, zone] : zones)
    {
        rows.push_back(std::move(zone));
    }
    return rows;
}

std::vector<entry_standing> lagging(std::span<entry_standing const> entries, std::size_t most)
{
    fleet_norm const norm = norm_of(entries);
    std::vector<entry_standing> found;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(found),
                 [&norm](entry_standing const& entry) { return lags(entry, norm); });
    std::sort(found.begin(), found.end(),
              [](entry_standing const& a, entry_standing const& b)
              {
                  return std::tie(a.is_ready, a.configuration, a.name) <
                         std::tie(b.is_ready, b.configuration, b.name);
              });
    found.resize(std::min(found.size(), most));
    return found;
}

} // namespace plumdale::plumctl
