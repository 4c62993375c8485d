#pragma once

#include <plumdale/state/identifier.hpp>

#include <compare>
#include <cstdint>

/// \file
/// \brief A version of one configuration value, without the value.

namespace plumdale::state
{

/// \brief Identifies one version of a configuration value. Of two versions of a key, the greater is
/// in force.
struct content_ref
{
    content_key key;
    std::uint64_t revision = 0;
    /// \brief First 64 bits of the SHA-256 of the value's text.
    std::uint64_t hash = 0;

    friend constexpr auto operator<=>(content_ref const&, content_ref const&) noexcept = default;
};

} // namespace plumdale::state
