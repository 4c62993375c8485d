#pragma once

#include <compare>
#include <cstdint>

/// \file
/// \brief An IPv4 address with a port.

namespace plumdale::state
{

/// \brief Where a process listens. Address in host byte order.
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(endpoint const&, endpoint const&) noexcept = default;
};

} // namespace plumdale::state
