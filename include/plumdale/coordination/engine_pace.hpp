#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>

/// \file
/// \brief How fast an engine of nominal speed reads prompts and generates.

namespace plumdale::coordination
{

/// \brief Figures of a deployment's engines; `upstream_speeds` learns how much each upstream
/// differs.
///
/// Example: `engine_pace{}.reading_time(2'100)` is 300 ms.
struct engine_pace
{
    /// \brief Prompt tokens that are read in a millisecond beside a running batch.
    double prompt_tokens_per_ms = 7.0;
    /// \brief Time of a step, which generates a token of each call.
    double step_ms = 7.0;
    /// \brief Time that each call but one adds to a step.
    double call_ms = 0.12;
    /// \brief Time that reading prompts adds to a step.
    double chunk_ms = 8.0;

    /// \brief Returns how long a token of one of `calls` generations takes.
    [[nodiscard]] constexpr double token_ms(std::uint32_t calls, bool reads_prompts) const noexcept
    {
        double const others = calls == 0 ? 0.0 : calls - 1.0;
        return step_ms + call_ms * others + (reads_prompts ? chunk_ms : 0.0);
    }
    /// \brief Returns how long a prompt takes to be read.
    [[nodiscard]] state::duration reading_time(double prompt_tokens) const
    {
        return from_ms(prompt_tokens / prompt_tokens_per_ms);
    }
    /// \brief Returns how long `tokens` take in a batch of `calls` while no prompt is read.
    [[nodiscard]] state::duration generating_time(std::uint32_t tokens, std::uint32_t calls) const
    {
        return from_ms(tokens * token_ms(calls, false));
    }
    /// \brief Returns the prompt tokens that are read in a step.
    [[nodiscard]] constexpr double prompt_tokens_per_step() const noexcept
    {
        return prompt_tokens_per_ms * (step_ms + chunk_ms);
    }

    /// \brief Returns a time given in milliseconds.
    [[nodiscard]] static state::duration from_ms(double ms)
    {
        return std::chrono::duration_cast<state::duration>(
            std::chrono::duration<double, std::milli>{ms});
    }
};

} // namespace plumdale::coordination
