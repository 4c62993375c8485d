#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <optional>

/// \file
/// \brief The request rate that an upstream states as its limit.

namespace plumdale::state
{

/// \brief One limit stated in an upstream's answer, as entry VMs exchange it.
struct stated_limit
{
    member_key member;
    /// \brief Requests a second from all entry VMs together; empty if it no longer states a limit.
    std::optional<double> per_second;
    /// \brief Time since the answer.
    duration age{};
};

} // namespace plumdale::state
