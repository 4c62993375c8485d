#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <string>

/// \file
/// \brief One upstream of a service as the platform lists it.

namespace plumdale::state
{

/// \brief One incarnation of an upstream. A restart has another name, so marks never expire.
struct service_member
{
    /// \brief Name of this incarnation.
    std::string name;
    std::string service;
    std::string zone;
    endpoint address;
    std::uint32_t slots = 0;
    /// \brief Whether it announced that it is leaving; never taken back.
    bool leaving = false;
    /// \brief Whether the platform lists it.
    bool listed = true;
    /// \brief The platform's revision at which it was listed or removed; the greater one holds.
    std::uint64_t revision = 0;
    /// \brief How long it is still slow after its start, as of the listing.
    std::uint32_t cold_ms = 0;
};

/// \brief Identifies an incarnation in tables and datagrams.
using member_key = identifier<struct member_key_tag>;

/// \brief Returns the key of the incarnation with this name.
[[nodiscard]] inline member_key key_of(service_member const& member) noexcept
{
    return named<member_key>(member.name);
}

} // namespace plumdale::state
