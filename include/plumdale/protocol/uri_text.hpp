#pragma once

#include <string>
#include <string_view>

/// \file
/// \brief Text in URIs.

namespace plumdale::protocol
{

/// \brief Returns the text as a query's value or a path's segment: all but the unreserved
/// characters as `%XX`.
[[nodiscard]] std::string escaped(std::string_view text);

} // namespace plumdale::protocol
