#pragma once

#include <cstdint>

/// \file
/// \brief Which generations have a copy of their memory grow at a second upstream.

namespace plumdale::coordination
{

/// \brief Returns whether a generation is to have a backup, by its expected length and the mean
/// projected share of memory over its service's upstreams.
///
/// Example: `if (should_back_up(900, choice.mean_fullness(service, now))) { … }`
[[nodiscard]] bool should_back_up(std::uint32_t output_tokens, double mean_fullness) noexcept;

/// \brief Returns whether an upstream has room for one, by its projected share of memory with it.
[[nodiscard]] bool has_capacity_for_backup(double fullness) noexcept;

} // namespace plumdale::coordination
