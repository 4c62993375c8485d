#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Why an answer ended before it was whole.

namespace plumdale::coordination
{

/// \brief The closed list of what ends an answer that has begun before it is whole.
enum class cut_cause : std::uint8_t
{
    upstream,    ///< Its upstream ended it, and nothing was there to go on from.
    own_stop,    ///< An order of this VM stopped its run, which did not go on.
    own_limit,   ///< A bound of this VM: what came can't be passed on or gone on with.
    caller_time, ///< The time that its caller or its route allows is over.
    peer,        ///< The VM that had its call broke it off.
    count        ///< Number of causes; not one.
};

/// \brief Returns the word for a cause in log lines.
[[nodiscard]] constexpr std::string_view to_text(cut_cause cause) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(cut_cause::count)> words{
        "upstream", "own stop", "own limit", "caller's time", "peer"};
    return words[static_cast<std::size_t>(cause)];
}

} // namespace plumdale::coordination
