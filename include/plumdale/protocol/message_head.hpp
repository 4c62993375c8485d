#pragma once

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The head of an HTTP message that is forwarded as it is.

namespace plumdale::protocol
{

/// \brief One header field.
struct header_field
{
    std::string name;
    std::string value;
};

/// \brief Start line and fields of a request or an answer.
struct message_head
{
    std::string method;  ///< Requests.
    std::string target;  ///< Requests: path and query as sent.
    unsigned status = 0; ///< Answers.
    std::string reason;  ///< Answers.
    std::vector<header_field> fields;

    /// \brief Returns the value of the first field with this name, in any case; null if none.
    [[nodiscard]] std::string const* find(std::string_view name) const noexcept;
    /// \brief Returns how many fields have this name.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
};

/// \brief Returns `text` without spaces and tabs around it.
[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept;

/// \brief Returns whether two field names are the same; case does not matter.
[[nodiscard]] bool equals_ignore_case(std::string_view a, std::string_view b) noexcept;

/// \brief Returns whether a field concerns one connection only: the standard ones and those that
/// `head`'s own Connection field names. Body framing is included, as each hop frames the body anew.
[[nodiscard]] bool is_hop_by_hop(message_head const& head, std::string_view name) noexcept;

/// \brief Returns whether a comma-separated list holds a token; case does not matter.
[[nodiscard]] bool has_token(std::string_view list, std::string_view token) noexcept;

} // namespace plumdale::protocol
