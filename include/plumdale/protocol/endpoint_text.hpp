#pragma once

#include <plumdale/state/endpoint.hpp>

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Text form of endpoints: `127.0.0.1:8080`.

namespace plumdale::protocol
{

/// \brief Returns the dotted address and the port.
[[nodiscard]] std::string to_text(state::endpoint where);

/// \brief Parses `a.b.c.d:port`; no value when it is malformed. Host names are not resolved.
[[nodiscard]] std::optional<state::endpoint> parse_endpoint(std::string_view text);

} // namespace plumdale::protocol
