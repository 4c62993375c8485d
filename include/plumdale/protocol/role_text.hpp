#pragma once

#include <plumdale/state/preset.hpp>

#include <optional>
#include <string_view>

/// \file
/// \brief Names of engine roles.

namespace plumdale::protocol
{

/// \brief Returns `mixed`, `drafts`, `questions` or `idle`.
[[nodiscard]] std::string_view role_name(state::engine_role role) noexcept;

/// \brief Returns the role of that name; none when there is no such role.
[[nodiscard]] std::optional<state::engine_role> role_from_name(std::string_view name) noexcept;

} // namespace plumdale::protocol
