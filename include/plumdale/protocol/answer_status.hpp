#pragma once

#include <cstdint>

/// \file
/// \brief Which statuses an answer may have (RFC 9110, 15).

namespace plumdale::protocol
{

/// \brief What a status makes of the message that bears it.
enum class status_kind : std::uint8_t
{
    none,        ///< No answer: no class has this status, or it changes the protocol unasked.
    interim,     ///< The final answer follows.
    final_answer ///< The answer.
};

/// \brief Interim answers that may precede the final one; with more it counts as no answer.
inline constexpr std::uint32_t max_interim_answers = 16;

/// \brief Returns what a status makes of an answer. All readers of answers ask here.
[[nodiscard]] constexpr status_kind kind_of_status(unsigned status) noexcept
{
    constexpr unsigned first_interim = 100;
    // No request asks for another protocol: what follows is in none that was agreed on.
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned last_final = 599;
    if (status < first_interim || status > last_final || status == switching_protocols)
    {
        return status_kind::none;
    }
    return status < first_final ? status_kind::interim : status_kind::final_answer;
}

} // namespace plumdale::protocol
