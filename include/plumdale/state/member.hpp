#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>

/// \file
/// \brief An entry VM as its peers know it.

namespace plumdale::state
{

/// \brief Health of a member, in the order in which news replaces older news of one incarnation.
enum class member_health : std::uint8_t
{
    alive,
    suspect,
    leaving, ///< Draining: finishes what it has and takes nothing new.
    dead
};

/// \brief What is known of one entry VM.
struct member
{
    node_id id;
    zone_id zone;
    incarnation incarnation_number;
    /// \brief Raised by the member itself to refute a suspicion.
    std::uint32_t refutation = 0;
    member_health health = member_health::alive;
    endpoint datagrams; ///< UDP, membership.
    endpoint streams;   ///< TCP, relays.

    friend bool operator==(member const&, member const&) noexcept = default;
};

} // namespace plumdale::state
