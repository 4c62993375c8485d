#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>

/// \file
/// \brief An engine's report of its own load.

namespace plumdale::state
{

/// \brief A load report. Memory is counted in key-value blocks of `block_tokens` tokens.
struct load_report
{
    upstream_id upstream;
    incarnation incarnation_number;
    /// \brief Counts the engine's reports; an older one is dropped.
    std::uint64_t sequence = 0;
    /// \brief How old the figures were when they were sent.
    duration age{};
    std::uint32_t blocks_total = 0;
    std::uint32_t blocks_used = 0;
    std::uint32_t block_tokens = 16;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// \brief Preemptions since the engine started.
    std::uint64_t preemptions = 0;
    /// \brief Whether the engine reports that it is leaving: this incarnation takes no new work.
    bool leaving = false;
};

} // namespace plumdale::state
