#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// \brief Summary of a fleet of hundreds of entry VMs.

namespace plumdale::plumctl
{

/// \brief State of an entry VM as its status page reports it.
struct entry_status
{
    std::string name;
    std::string zone;
    bool is_ready = false;
    bool is_active_reader = false;
    std::uint64_t configuration = 0;
    /// \brief Digest of its directory of upstreams; equal digests mean equal directories.
    std::string directory_digest;
    /// \brief Age of its data from the platform, in milliseconds; none before the first data.
    std::optional<std::int64_t> platform_age_ms;
    std::uint64_t calls = 0;
};

/// \brief Sums over the entry VMs of one availability zone.
struct zone_summary
{
    std::string zone;
    std::size_t entry_count = 0;
    std::size_t ready = 0;
    std::size_t readers = 0;
    /// \brief Entry VMs with the newest configuration of the whole fleet.
    std::size_t on_newest_configuration = 0;
    /// \brief Entry VMs with the directory that most of the fleet have.
    std::size_t on_majority_directory = 0;
    std::int64_t max_platform_age_ms = 0;
    std::uint64_t calls = 0;
};

/// \brief Returns a row for each zone, ordered by name.
[[nodiscard]] std::vector<zone_summary> summarize_zones(std::span<entry_status const> entries);

/// \brief Returns the entry VMs that are not ready, have an older configuration or another
/// directory than most, worst first: not ready, then the oldest configuration; `max_count` at most.
[[nodiscard]] std::vector<entry_status> lagging_entries(std::span<entry_status const> entries,
                                                        std::size_t max_count);

} // namespace plumdale::plumctl
