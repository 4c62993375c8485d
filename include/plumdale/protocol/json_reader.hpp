#pragma once

#include <plumdale/state/result.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string_view>

/// \file
/// \brief Checked reading of untrusted JSON.

namespace plumdale::protocol
{

/// \brief Parses an object with bounded depth. Fails with `invalid_request`.
[[nodiscard]] state::result<boost::json::object> parse_object(std::string_view text);

/// \brief Returns the string member, or null when it is missing or of another type.
[[nodiscard]] boost::json::string const* find_string(boost::json::object const& object,
                                                     std::string_view name);

/// \brief Returns a whole number member of 0 to `limit`, or `otherwise` when it is missing or
/// invalid.
[[nodiscard]] std::uint64_t number_or(boost::json::object const& object, std::string_view name,
                                      std::uint64_t otherwise, std::uint64_t limit = UINT64_MAX);

/// \brief Returns a real member, or `otherwise` when it is missing or not a finite
/// number.
[[nodiscard]] double real_or(boost::json::object const& object, std::string_view name,
                             double otherwise);

/// \brief Returns a boolean member, or `otherwise` when it is missing or of another type.
[[nodiscard]] bool flag_or(boost::json::object const& object, std::string_view name,
                           bool otherwise);

} // namespace plumdale::protocol
