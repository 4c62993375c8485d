#pragma once

#include <plumdale/coordination/broadcast_tree.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// \brief A newer configuration, as entry VMs pass it on.

namespace plumdale::coordination
{

/// \brief A configuration as a patch of another one, or as its whole text.
struct configuration_offer
{
    /// \brief Maximum size of a patch in a datagram, in bytes, so that it is never fragmented.
    static constexpr std::size_t max_datagram_patch = 1'150;

    std::uint64_t version = 0;
    /// \brief Version that the patch changes; zero when it holds the whole text.
    std::uint64_t base = 0;
    /// \brief Digest of the whole text.
    std::uint64_t digest = 0;
    /// \brief Entry VMs that the receiver forwards it to; none unless `has_range`.
    broadcast_range range;
    bool has_range = false;
    /// \brief Number of the tree that it is broadcast along; VMs have other places in each.
    std::uint8_t tree = 0;
    /// \brief Empty if it is too large for a datagram; the receiver then requests it.
    std::string patch;

    /// \brief Returns the message number from which the places in its tree are derived.
    [[nodiscard]] constexpr std::uint64_t broadcast_id() const noexcept
    {
        return tree == 0 ? version : state::mix(version, tree);
    }
};

} // namespace plumdale::coordination
