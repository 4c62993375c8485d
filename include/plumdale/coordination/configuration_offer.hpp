#pragma once

#include <plumdale/coordination/broadcast_tree.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// \brief A newer configuration, as entry VMs pass it on.

namespace plumdale::coordination
{

/// \brief A configuration as what differs from another one.
struct configuration_offer
{
    /// \brief Most bytes of a patch in a datagram, so that it is never fragmented.
    static constexpr std::size_t max_datagram_patch = 1'150;

    std::uint64_t version = 0;
    /// \brief Version that the patch changes; zero when it holds the whole text.
    std::uint64_t base = 0;
    /// \brief Digest of the whole text.
    std::uint64_t digest = 0;
    /// \brief Those that the receiver passes it on to; none where the range is empty.
    broadcast_range range;
    bool has_range = false;
    /// \brief Empty when it is too large for a datagram: it is asked for then.
    std::string patch;
};

} // namespace plumdale::coordination
