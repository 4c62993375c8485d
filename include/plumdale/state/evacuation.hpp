#pragma once

#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <vector>

/// \file
/// \brief Orders of operators to send nothing more to the upstreams of a zone.

namespace plumdale::state
{

/// \brief One order that is in force.
struct evacuation
{
    zone_id zone;
    /// \brief The platform's revision at which it was given.
    std::uint64_t revision = 0;

    friend constexpr bool operator==(evacuation const&, evacuation const&) noexcept = default;
};

/// \brief All orders in force as of a revision of the platform's store.
struct evacuations
{
    /// \brief Zero until the orders are known.
    std::uint64_t as_of = 0;
    std::vector<evacuation> in_force;
};

/// \brief One change of the orders, as the store reports it.
struct evacuation_change
{
    evacuation order;
    bool revoked = false;
};

} // namespace plumdale::state
