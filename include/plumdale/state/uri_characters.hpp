#pragma once

/// \file
/// \brief Characters that need no escape in a URI.

namespace plumdale::state
{

/// \brief Returns whether a character stands for itself in every part of a URI (RFC 3986, 2.3).
[[nodiscard]] constexpr bool is_unreserved(char c) noexcept
{
    bool const is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    bool const is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || c == '-' || c == '.' || c == '_' || c == '~';
}

} // namespace plumdale::state
