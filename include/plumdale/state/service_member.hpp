#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/uri_characters.hpp>

#include <algorithm>
#include <cstddef>
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
    /// \brief The upstream itself stated its start, not only its entry.
    bool start_confirmed = false;
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

    /// \brief Longest name, in bytes.
    static constexpr std::size_t max_name_bytes = 200;
    /// \brief Far above the slots of any upstream; a greater number means a damaged entry.
    static constexpr std::uint32_t max_slots = 100'000;
};

/// \brief Returns whether a text can name an upstream. The name is sent in a field of each call: it
/// has characters that need no escape, and colons.
[[nodiscard]] inline bool is_member_name(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= service_member::max_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_unreserved(c) || c == ':'; });
}

/// \brief Returns whether a row has what calls are sent by: a name and, if it says that its
/// upstream may be used, also a place and slots.
[[nodiscard]] inline bool is_complete(service_member const& member) noexcept
{
    bool const has_place = member.address.address != 0 && member.address.port != 0 &&
                           !member.service.empty() && !member.zone.empty();
    bool const has_slots = member.slots != 0 && member.slots <= service_member::max_slots;
    return is_member_name(member.name) &&
           (!member.listed || !member.usable || (has_place && has_slots));
}

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
