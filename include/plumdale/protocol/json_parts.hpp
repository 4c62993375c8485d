#pragma once

#include <plumdale/state/result.hpp>

#include <boost/json/object.hpp>

#include <string_view>
#include <vector>

/// \file
/// \brief Reading of JSON of which a part can't be read.

namespace plumdale::protocol
{

/// \brief A member of an object as text; the name is without quotes and not unescaped.
struct member_text
{
    std::string_view name;
    std::string_view value;
};

/// \brief Splits an object into its members by brackets, quotes and commas alone. Fails with
/// `invalid_request` if these don't match.
[[nodiscard]] state::result<std::vector<member_text>> split_members(std::string_view object);
/// \brief Splits a list into its elements in the same way.
[[nodiscard]] state::result<std::vector<std::string_view>> split_elements(std::string_view list);
/// \brief Parses those members of an object that can be read, each with bounded depth. Fails with
/// `invalid_request` if the object can't be split.
[[nodiscard]] state::result<boost::json::object> parse_readable_members(std::string_view object);

} // namespace plumdale::protocol
