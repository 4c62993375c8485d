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

/// \brief One start of an upstream. What holds of it ends with it: a later start under the same
/// name has nothing of its memory, calls or departures.
struct service_member
{
    std::string name;
    /// \brief Start of the process, greater for a later one; zero where it isn't told.
    incarnation started;
    std::string service;
    std::string zone;
    endpoint address;
    std::uint32_t slots = 0;
    /// \brief Whether it announced that it is leaving; never taken back.
    bool leaving = false;
    /// \brief Whether the platform lists it.
    bool listed = true;
    /// \brief Whether the platform's entry can be believed; one that can't names no upstream to
    /// use.
    bool usable = true;
    /// \brief The platform's revision at which it was listed or removed; the greater one holds.
    std::uint64_t revision = 0;
    /// \brief How long it is still slow after its start, as of the listing.
    std::uint32_t cold_ms = 0;
};

/// \brief Identifies one start of an upstream in tables and datagrams.
using member_key = identifier<struct member_key_tag>;

/// \brief Returns the key of a start, from the key of its name alone. Where the start isn't told,
/// that is its key.
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
