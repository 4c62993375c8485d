#pragma once

#include <plumdale/state/identifier.hpp>

#include <array>
#include <cstdint>
#include <string>

/// \file
/// \brief A customer as the configuration describes it.

namespace plumdale::state
{

/// \brief SHA-256 digest of an API key.
using sha256_digest = std::array<std::uint8_t, 32>;

/// \brief A customer: its identity, its credential, its weight and its limits.
struct customer
{
    customer_id id;
    std::string name;
    sha256_digest api_key{};
    /// \brief Weight in fair sharing when demand exceeds capacity.
    double weight = 1.0;
    /// \brief Hard limit over the whole fleet, tokens a second; zero means none.
    double token_rate_limit = 0.0;
    /// \brief Hard limit over the whole fleet, requests in flight; zero means none.
    std::uint32_t in_flight_limit = 0;
};

} // namespace plumdale::state
