#pragma once

#include "token_text.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Checks an answer by the tokens that its caller received.

namespace plumdale::standins
{

struct received_token
{
    std::string id; ///< `<generation>@<upstream>/<index>`
    std::string text;
};

/// \brief Returns the first fault found in an answer, or an empty text. The answer must hold
/// `expected` tokens in order, from one generation and from one run on an engine.
[[nodiscard]] inline std::string check_answer(std::vector<received_token> const& tokens,
                                              std::uint32_t expected)
{
    std::string const first = tokens.empty() ? std::string{} : tokens.front().id;
    std::string const generation = first.substr(0, first.find_first_of("@/"));
    for (std::uint32_t index = 0; index < tokens.size(); ++index)
    {
        received_token const& token = tokens[index];
        std::string const label = "token " + std::to_string(index) + " (" + token.id + ") ";
        if (token.id.substr(0, token.id.find_first_of("@/")) != generation)
        {
            return label + "is from another generation than " + generation;
        }
        if (token.id.substr(token.id.rfind('/') + 1) != std::to_string(index))
        {
            return label + "is out of order";
        }
        char const mark = tokens.front().text.empty() ? 'A' : tokens.front().text.back();
        if (token.text != token_text(generation, index, static_cast<char>(mark - 'A' + 'a')))
        {
            return label + "has a text that this run did not produce:" + token.text;
        }
    }
    if (tokens.size() != expected)
    {
        return std::to_string(tokens.size()) + " tokens instead of " + std::to_string(expected);
    }
    return {};
}

} // namespace plumdale::standins
