#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>

/// \file
/// \brief An entry VM as its peers know it.

namespace plumdale::state
{

/// \brief Health of a member. Within one incarnation and refutation, a later value replaces an
/// earlier one.
enum class member_health : std::uint8_t
{
    alive,
    suspect,
    leaving, ///< Draining: finishes its requests and accepts no new ones.
    dead
};

/// \brief What is known about one entry VM.
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
