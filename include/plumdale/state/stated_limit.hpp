#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <optional>

/// \file
/// \brief What an upstream says that it takes.

namespace plumdale::state
{

/// \brief One statement of an upstream's answer, as entry VMs tell each other.
struct stated_limit
{
    member_key member;
    /// \brief Requests a second from all entry VMs together; none where it states no limit any
    /// more.
    std::optional<double> per_second;
    /// \brief How long ago that was.
    duration age{};
};

} // namespace plumdale::state
