#pragma once

#include <cstdint>

/// \file
/// \brief A position in the history of the platform's store.

namespace plumdale::state
{

/// \brief A revision and the era of the store in which it was issued.
///
/// A store that is restored from a copy issues revisions again; its era grows with each restore.
/// Both are packed into one number, so that code that merges by the greatest revision merges by the
/// greatest position.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    /// \brief Bits of a revision. A store may begin to count anywhere above zero; from here, 25,000
    /// changes a second would last for centuries. An era, one for each restore, has the other bits.
    static constexpr unsigned revision_bits = 48;
    static constexpr std::uint64_t revision_mask = (std::uint64_t{1} << revision_bits) - 1;

    /// \brief Returns a number that is greater for a later position.
    [[nodiscard]] constexpr std::uint64_t value() const noexcept
    {
        return (era << revision_bits) | (revision & revision_mask);
    }
    /// \brief Returns the position that `value()` encodes.
    [[nodiscard]] static constexpr store_position from_value(std::uint64_t value) noexcept
    {
        return {value >> revision_bits, value & revision_mask};
    }
};

/// \brief Returns the revision as the store reports it.
[[nodiscard]] constexpr std::uint64_t revision_in(std::uint64_t position) noexcept
{
    return store_position::from_value(position).revision;
}

/// \brief Returns the era in which a revision was issued.
[[nodiscard]] constexpr std::uint64_t era_in(std::uint64_t position) noexcept
{
    return store_position::from_value(position).era;
}

} // namespace plumdale::state
