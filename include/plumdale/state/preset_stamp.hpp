#pragma once

#include <plumdale/state/identifier.hpp>

#include <algorithm>
#include <compare>
#include <cstdint>

/// \file
/// \brief Which preset is in force, as a value that only grows.

namespace plumdale::state
{

/// \brief Orders switches of the preset. Joined by maximum, so copies converge in any order.
struct preset_stamp
{
    /// \brief Published revision that the switch is, or is based on.
    std::uint64_t revision = 0;
    /// \brief Operator switches on top of that revision; zero for the published switch itself.
    std::uint32_t count = 0;
    /// \brief The operator, to order two concurrent switches; zero for the published switch.
    std::uint64_t operator_id = 0;
    /// \brief The preset that the switch puts in force.
    preset_id preset;

    [[nodiscard]] constexpr explicit operator bool() const noexcept
    {
        return static_cast<bool>(preset);
    }
    friend constexpr auto operator<=>(preset_stamp const&, preset_stamp const&) noexcept = default;
};

/// \brief Returns the later of two stamps: associative, commutative and idempotent.
[[nodiscard]] constexpr preset_stamp join(preset_stamp a, preset_stamp b) noexcept
{
    return std::max(a, b);
}

} // namespace plumdale::state
