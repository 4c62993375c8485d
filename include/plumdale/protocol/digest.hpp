#pragma once

#include <plumdale/state/customer.hpp>

#include <optional>
#include <string_view>

/// \file
/// \brief Digests of keys and of requests.

namespace plumdale::protocol
{

/// \brief Returns the SHA-256 digest of `text`.
[[nodiscard]] state::sha256_digest sha256(std::string_view text);

/// \brief Returns a digest that all attempts of a request share. The target is the path with its
/// query.
[[nodiscard]] state::request_digest
digest_of_request(std::string_view method, std::string_view host, std::string_view target,
                  std::string_view customer, std::string_view body);

/// \brief Parses 64 hexadecimal digits; no value when they are malformed.
[[nodiscard]] std::optional<state::sha256_digest> parse_digest(std::string_view hex);

} // namespace plumdale::protocol
