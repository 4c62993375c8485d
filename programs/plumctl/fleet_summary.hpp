#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief A fleet of hundreds of entry VMs at a glance.

namespace plumdale::plumctl
{

/// \brief What an entry VM says of itself on its status page.
struct entry_status
{
    std::string name;
    std::string zone;
    bool is_ready = false;
    bool is_active_reader = false;
    std::uint64_t configuration = 0;
    /// \brief Digest of its directory of upstreams; VMs with the same one believe the same.
    std::string directory_digest;
    /// \brief Age of what it knows of the platform, in milliseconds; none before it heard anything.
    std::optional<std::int64_t> platform_age_ms;
    std::uint64_t calls = 0;
};

/// \brief The entry VMs of one availability zone, summed.
struct zone_summary
{
    std::string zone;
    std::size_t entry_count = 0;
    std::size_t ready = 0;
    std::size_t readers = 0;
    /// \brief Those that follow the newest configuration of the whole fleet.
    std::size_t on_newest_configuration = 0;
    /// \brief Those whose directory is the one that most of the fleet have.
    std::size_t on_majority_directory = 0;
    std::int64_t max_platform_age_ms = 0;
    std::uint64_t calls = 0;
};

/// \brief Returns a row for each zone, by name.
[[nodiscard]] std::vector<zone_summary> summarize_zones(std::span<entry_status const> entries);

/// \brief Returns those that are not ready, follow an older configuration or have a directory of
/// their own, worst first: not ready, then the oldest configuration; `max_count` at most.
[[nodiscard]] std::vector<entry_status> lagging_entries(std::span<entry_status const> entries,
                                                        std::size_t max_count);

} // namespace plumdale::plumctl
