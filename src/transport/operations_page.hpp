#pragma once

#include "forward_core.hpp"

#include <string>

/// \file
/// \brief The status page of a forwarding entry VM, as JSON.

namespace plumdale::transport
{

/// \brief Returns the status page: this VM, its peers, routes, upstreams with their projected load,
/// and outcomes by route. Shape: docs/OPERATIONS.md.
[[nodiscard]] std::string status_page(forward_core const& core);

} // namespace plumdale::transport
