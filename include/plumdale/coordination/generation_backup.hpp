#pragma once

#include <cstdint>

/// \file
/// \brief Decides which generations have a backup of their memory at a second upstream.

namespace plumdale::coordination
{

/// \brief Returns whether a generation should have a backup, from its expected length and the mean
/// projected share of memory over its service's upstreams.
///
/// Example: `if (should_back_up(900, selector.mean_fullness(service, now))) { … }`
[[nodiscard]] bool should_back_up(std::uint32_t output_tokens, double mean_fullness) noexcept;

/// \brief Tokens of the shortest answer that has a backup: shorter ones end before a backup that is
/// sent several times a second would be of use.
inline constexpr std::uint32_t min_backed_up_tokens = 100;

/// \brief Returns whether an upstream may take a backup, from its projected share of memory then.
[[nodiscard]] bool has_capacity_for_backup(double fullness) noexcept;

} // namespace plumdale::coordination
