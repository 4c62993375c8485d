#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief One upstream of a service as the platform lists it.

namespace plumdale::state
{

/// \brief One incarnation of an upstream. A later one under the same name shares none of its
/// memory, calls or departures.
struct service_member
{
    std::string name;
    /// \brief Start of the process, greater for a later one; zero if it isn't reported.
    incarnation started;
    std::string service;
    std::string zone;
    endpoint address;
    std::uint32_t slots = 0;
    /// \brief Whether it announced that it is leaving; never revoked.
    bool leaving = false;
    /// \brief Whether the platform lists it.
    bool listed = true;
    /// \brief Whether the platform's entry is valid; an upstream with an invalid one must not be
    /// used.
    bool usable = true;
    /// \brief The platform's revision at which it was listed or removed; the greater one wins.
    std::uint64_t revision = 0;
    /// \brief How long it is still slow after its start, as of the listing.
    std::uint32_t cold_ms = 0;
};

/// \brief Identifies one incarnation of an upstream in tables and datagrams.
using member_key = identifier<struct member_key_tag>;

/// \brief Returns the key of an incarnation, from the key of its name; the latter itself if the
/// start isn't reported.
[[nodiscard]] constexpr member_key key_of_incarnation(member_key name, incarnation started) noexcept
{
    return started.value == 0 ? name : member_key{mix(name.value, started.value)};
}

[[nodiscard]] constexpr member_key key_of(std::string_view name, incarnation started) noexcept
{
    return key_of_incarnation(id_from_name<member_key>(name), started);
}

[[nodiscard]] inline member_key key_of(service_member const& member) noexcept
{
    return key_of(member.name, member.started);
}

} // namespace plumdale::state
