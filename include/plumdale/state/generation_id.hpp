#pragma once

#include <plumdale/state/identifier.hpp>

#include <array>
#include <compare>
#include <cstdint>

/// \file
/// \brief The identity of one generation; it names its owner.

namespace plumdale::state
{

/// \brief Identity of a generation: the only process that may dispatch it is the one named here.
///
/// Text form (protocol layer): `g-<node>-<incarnation>-<sequence>-<mac>`, lower-case hexadecimal.
struct generation_id
{
    node_id owner;
    incarnation incarnation_number;
    /// \brief Counts the owner's generations; `sequence % shard count` is the owning shard.
    std::uint64_t sequence = 0;
    /// \brief First 128 bits of an HMAC-SHA256 over the other fields with the fleet key.
    std::array<std::uint8_t, 16> mac{};

    [[nodiscard]] constexpr explicit operator bool() const noexcept
    {
        return static_cast<bool>(owner);
    }
    friend auto operator<=>(generation_id const&, generation_id const&) noexcept = default;
};

} // namespace plumdale::state

template <>
struct std::hash<plumdale::state::generation_id>
{
    std::size_t operator()(plumdale::state::generation_id const& id) const noexcept
    {
        using plumdale::state::mix;
        return static_cast<std::size_t>(
            mix(mix(id.owner.value, id.incarnation_number.value), id.sequence));
    }
};
