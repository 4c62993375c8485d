#pragma once

#include <plumdale/state/identifier.hpp>

#include <chrono>
#include <cstdint>

/// \file
/// \brief Which starts of upstreams can be true.

namespace plumdale::coordination
{

/// \brief Far above what the clocks of VMs and upstreams differ by: a VM whose own clock is wrong
/// must not lose all upstreams.
inline constexpr std::chrono::milliseconds max_start_lead = std::chrono::hours{24};

/// \brief Returns whether a start, in milliseconds since the Unix epoch, lies further ahead of the
/// time of day than clocks differ. Such a start would count as the latest one for years.
[[nodiscard]] constexpr bool is_impossible_start(state::incarnation started,
                                                 std::chrono::milliseconds unix_time) noexcept
{
    std::chrono::milliseconds const latest = unix_time + max_start_lead;
    return latest.count() < 0 || started.value > static_cast<std::uint64_t>(latest.count());
}

} // namespace plumdale::coordination
