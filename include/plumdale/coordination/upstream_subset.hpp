#pragma once

#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstddef>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which upstreams of a large service an entry VM routes over, and which entry VMs receive
/// the load of an upstream.

namespace plumdale::coordination
{

/// \brief A fixed pseudorandom part of the upstreams of each zone for each entry VM.
///
/// A VM that routed over thousands of upstreams would have to send the load that it causes to all
/// other VMs. With subsets, only the few VMs whose subsets have an upstream in common receive its
/// load, so bytes and state of a VM don't grow with the fleet. Services with few upstreams are not
/// divided. Example:
/// \code
/// if (subset.divides(service)) { candidates = subset.own_part(service, zone); }
/// \endcode
class upstream_subset
{
public:
    upstream_subset(service_directory const& directory, state::node_id self) noexcept
        : directory_{directory}, self_{self}
    {
    }

    /// \brief Sets the zones of all live entry VMs, this one included.
    void update_fleet(std::span<state::zone_id const> zones);
    /// \brief Returns whether a service has so many upstreams that it is divided.
    [[nodiscard]] bool divides(std::string_view service) const;
    /// \brief Returns the upstreams of a zone that this VM routes over.
    [[nodiscard]] std::vector<state::member_key> own_part(std::string_view service,
                                                          std::string_view zone) const;
    /// \brief Returns the share of a zone's upstreams that each VM of the zone routes over.
    [[nodiscard]] double share(std::string_view service, std::string_view zone) const;
    /// \brief Returns whether an upstream is in a VM's subset, given the share of its zone.
    [[nodiscard]] static bool contains(state::node_id vm, state::member_key upstream,
                                       double share) noexcept;

    /// \brief Services with at most this many upstreams are not divided.
    static constexpr std::size_t max_undivided = 128;
    /// \brief Mean size of a subset at least: a call compares eight of them.
    static constexpr std::size_t min_upstreams = 64;
    /// \brief Mean number of VMs at least that route to an upstream; fewer would leave some
    /// upstreams without any.
    static constexpr std::size_t min_vms = 8;

private:
    service_directory const& directory_;
    state::node_id self_;
    std::unordered_map<state::zone_id, std::size_t> vms_by_zone_;
};

} // namespace plumdale::coordination
