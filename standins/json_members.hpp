#pragma once

#include <boost/json.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Members of JSON objects, with a default for those that are missing.

namespace plumdale::standins
{

[[nodiscard]] inline std::string string_member(boost::json::object const& from,
                                               std::string_view name)
{
    auto const* value = from.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : std::string{};
}

template <class Number>
[[nodiscard]] Number number_member(boost::json::object const& from, std::string_view name,
                                   Number default_value = {})
{
    auto const* value = from.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<Number>() : default_value;
}

[[nodiscard]] inline bool bool_member(boost::json::object const& from, std::string_view name,
                                      bool default_value)
{
    auto const* value = from.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : default_value;
}

/// \brief Parses an object; returns an empty one if the text is not an object.
[[nodiscard]] inline boost::json::object parse_object(std::string const& text)
{
    boost::system::error_code malformed;
    boost::json::value const value = boost::json::parse(text, malformed);
    return !malformed && value.is_object() ? value.as_object() : boost::json::object{};
}

} // namespace plumdale::standins
