#pragma once

#include <atomic>
#include <cstdint>

/// \file
/// \brief Counters of what one shard dropped, resumed and refused, for metrics.

namespace plumdale::coordination
{

/// \brief Counters written by one shard's thread and read by any, in relaxed atomics.
struct delivery_counts
{
    std::atomic<std::uint64_t> wrong_identity{0}; ///< Tokens of another identity, dropped.
    std::atomic<std::uint64_t> duplicate{0};      ///< Tokens delivered before, dropped.
    std::atomic<std::uint64_t> skipped{0};        ///< Tokens after a gap, dropped and reread.
    std::atomic<std::uint64_t> late{0};           ///< Events of closed exchanges.
    std::atomic<std::uint64_t> resumed{0};        ///< Streams resumed on a new connection.
    std::atomic<std::uint64_t> restarted{0};      ///< Generations restarted.
    std::atomic<std::uint64_t> superseded{0};     ///< Callers replaced by a later one.
    std::atomic<std::uint64_t> in_doubt{0};       ///< Keys refused as in doubt.
    std::atomic<std::uint64_t> paused{0};         ///< Times the process did not run for a while.
};

/// \brief Adds one to a counter that only the calling thread writes.
inline void count(std::atomic<std::uint64_t>& counter) noexcept
{
    counter.store(counter.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
}

} // namespace plumdale::coordination
