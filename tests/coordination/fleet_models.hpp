#pragma once

#include <plumdale/coordination/control_plane.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

/// \file
/// \brief Models of the platform and of a fleet's entry VMs in virtual time.

namespace plumdale::testing
{

using namespace plumdale::coordination;
using namespace std::chrono_literals;

inline constexpr state::time_point start_time{std::chrono::hours{1}};

/// \brief What the configuration service and the VM list hold, and whether they can be read.
struct platform_model
{
    bool down = false;
    std::set<std::size_t> disconnected_zones;
    /// \brief Published events by revision.
    std::map<std::uint64_t, control_event> published;
    /// \brief A stale service shows nothing beyond this revision.
    std::uint64_t visible_revision = UINT64_MAX;
    vm_list_read list;

    [[nodiscard]] std::uint64_t newest() const
    {
        auto const after = published.upper_bound(visible_revision);
        return after == published.begin() ? 0 : std::prev(after)->first;
    }
};

/// \brief One entry VM's control plane and its surroundings.
struct node_model
{
    node_settings settings;
    std::unique_ptr<published<fleet_snapshot>> fleet;
    std::unique_ptr<std::atomic<std::uint32_t>> in_flight;
    std::unique_ptr<control_plane> control;
    std::size_t zone = 0;
    std::uint64_t start_count = 0; ///< Counts starts; events for an earlier start are dropped.
    bool paused = false;
    std::vector<std::pair<state::time_point, control_event>> buffered_events;
    state::time_point timer = state::never;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    bool finished = false;
    state::incarnation replaced_by;
};

} // namespace plumdale::testing
