#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

/// \file
/// \brief Seeded mutation of valid inputs.

namespace plumdale::test
{

/// \brief Returns `valid` after one to four changes: a byte replaced or removed, one to eight bytes
/// duplicated, or the text truncated.
[[nodiscard]] inline std::string mutate(std::string_view valid, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::string text{valid};
    std::uint64_t const changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i)
    {
        std::size_t const at = random() % text.size();
        switch (random() % 4)
        {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1);
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + random() % 8));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

} // namespace plumdale::test
