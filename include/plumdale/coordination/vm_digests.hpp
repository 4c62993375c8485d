#pragma once

#include <cstdint>

/// \file
/// \brief What two entry VMs compare to see whether they know the same.

namespace plumdale::coordination
{

/// \brief Digests of what an entry VM sends calls by.
struct vm_digests
{
    /// \brief Of its directory of upstreams.
    std::uint64_t directory = 0;
    /// \brief Of the orders of evacuation in force.
    std::uint64_t evacuations = 0;
    /// \brief Of the requests and parts of prompts that it refuses.
    std::uint64_t quarantine = 0;
    /// \brief Version of its configuration.
    std::uint64_t configuration = 0;

    bool operator==(vm_digests const&) const = default;
};

} // namespace plumdale::coordination
