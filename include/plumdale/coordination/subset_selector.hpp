#pragma once

#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which upstreams of a model one entry VM routes to.

namespace plumdale::coordination
{

/// \brief Accepting upstreams of one model, the own zone's first.
struct zone_split
{
    std::span<upstream_view const* const> own_zone;
    std::span<upstream_view const* const> other_zones;
    std::span<upstream_view const* const> all;
};

/// \brief How many upstreams of one model an entry VM routes to.
struct subset_limits
{
    /// \brief Minimum and maximum of the own zone, and maximum of all other zones together.
    std::size_t min_own_zone = 8;
    std::size_t max_own_zone = 256;
    std::size_t other_zones = 12;
    /// \brief Target number of entry VMs of its zone that share an upstream, within these bounds.
    std::size_t entry_vms_per_upstream = 8;
};

/// \brief Picks the upstreams of one model that this entry VM routes to.
///
/// In a large zone each entry VM uses its own subset, chosen by rendezvous hashing. Every upstream
/// is then shared by about the same number of entry VMs, few enough that each knows a large part
/// of its load from its own requests, and a change of the list moves few of them. A smaller subset
/// of the other zones' upstreams takes overflow. The result is cached until the snapshot's version
/// changes.
class subset_selector
{
public:
    /// \param self This entry VM, for the hashing.
    subset_selector(state::node_id self, state::zone_id zone, subset_limits limits);

    /// \brief Returns the selected upstreams of a model; valid as long as the snapshot is.
    [[nodiscard]] zone_split select(fleet_snapshot const& fleet, state::model_id model);

private:
    struct cached_subset
    {
        std::uint64_t version = 0;
        std::vector<upstream_view const*> views;
        std::size_t own_count = 0;
    };

    void rebuild(cached_subset& each, fleet_snapshot const& fleet, state::model_id model) const;
    [[nodiscard]] std::size_t own_limit(fleet_snapshot const& fleet, std::size_t upstreams) const;
    [[nodiscard]] std::size_t keep_subset(std::vector<upstream_view const*>& views,
                                          std::size_t from, std::size_t limit) const;

    state::node_id self_;
    state::zone_id zone_;
    subset_limits limits_;
    std::unordered_map<state::model_id, cached_subset> cached_subsets_;
};

} // namespace plumdale::coordination
