#pragma once

#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Reproducible texts of tokens, so that a reader of an answer can check each token.

namespace plumdale::standins
{

/// \brief Returns the letter that marks every token of one run on one engine.
[[nodiscard]] inline char run_mark(std::string_view engine, std::uint32_t run) noexcept
{
    std::uint64_t const hash = state::mix(state::stable_hash(engine), run);
    return static_cast<char>('a' + hash % 26);
}

/// \brief Returns the text of one token: a space, a word made from generation and index, and the
/// mark of the run in upper case.
[[nodiscard]] inline std::string token_text(std::string_view generation, std::uint32_t index,
                                            char mark)
{
    constexpr std::string_view consonants = "bdfglmnprstvz";
    constexpr std::string_view vowels = "aeiou";
    constexpr int syllables = 3;
    std::uint64_t hash = state::mix(state::stable_hash(generation), index);
    std::string text = " ";
    for (int i = 0; i < syllables; ++i)
    {
        text += consonants[hash % consonants.size()];
        hash /= consonants.size();
        text += vowels[hash % vowels.size()];
        hash /= vowels.size();
    }
    text += static_cast<char>(mark - 'a' + 'A');
    return text;
}

} // namespace plumdale::standins
