#pragma once

#include <string>
#include <string_view>

/// \file
/// \brief Text in URIs.

namespace plumdale::protocol
{

/// \brief Returns whether a character stands for itself in every part of a URI (RFC 3986, 2.3).
[[nodiscard]] constexpr bool is_unreserved(char c) noexcept
{
    bool const is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    bool const is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || c == '-' || c == '.' || c == '_' || c == '~';
}

/// \brief Returns the text as a query's value or a path's segment: all but the unreserved
/// characters as `%XX`.
[[nodiscard]] std::string escaped(std::string_view text);

} // namespace plumdale::protocol
