#pragma once

#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>

/// \file
/// \brief Decides whether a copy of a generation's memory is ordered at a destination.

namespace plumdale::coordination
{

/// \brief A copy that could be ordered.
struct copy_request
{
    /// \brief Tokens that the generation holds now.
    std::uint32_t tokens = 0;
    /// \brief Tokens that it is expected to generate still.
    std::uint32_t remaining_tokens = 0;
    /// \brief Time until its upstream is gone.
    state::duration time_left{};
    /// \brief The destination is in another zone.
    bool to_other_zone = false;
};

/// \brief What is known of the destination, own and peers' orders included.
struct copy_destination
{
    /// \brief Tokens in its memory now, those promised to other copies included.
    std::uint64_t tokens_held = 0;
    /// \brief Calls and copies in its batch.
    std::uint32_t calls = 0;
};

/// \brief Returns whether a destination has room for a copy until the generation ends there.
[[nodiscard]] bool fits(copy_request const& copy, copy_destination const& at,
                        state::engine_limits const& engine) noexcept;

} // namespace plumdale::coordination
