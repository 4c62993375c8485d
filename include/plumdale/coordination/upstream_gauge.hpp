#pragma once

#include <plumdale/coordination/own_load_history.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <atomic>
#include <cstdint>

/// \file
/// \brief Counters of one upstream that all shards share.

namespace plumdale::coordination
{

/// \brief Number of times to which occupancy is projected: a quarter, a half and the whole of the
/// preset's horizon.
inline constexpr std::size_t horizon_points = 3;

/// \brief Latest report of an upstream and this entry VM's own work on it, in relaxed atomics.
///
/// Fields may be one update apart from each other; every reader treats them as estimates.
struct upstream_gauge
{
    // -- from the latest report; written by the control plane only
    // ---------------------------------
    std::atomic<std::uint64_t> report_sequence{0};
    /// \brief Time at which the reported figures were taken, in nanoseconds of the injected clock.
    std::atomic<std::int64_t> reported_at{0};
    std::atomic<std::uint32_t> blocks_total{0};
    std::atomic<std::uint32_t> blocks_used{0};
    std::atomic<std::uint32_t> block_tokens{16};
    std::atomic<std::uint32_t> running{0};
    std::atomic<std::uint32_t> waiting{0};
    std::atomic<std::uint64_t> preemptions{0};

    // -- this entry VM's own work; written by the shards
    // -------------------------------------------
    std::atomic<std::uint32_t> in_flight{0};
    /// \brief Tokens (prompt and generated) that own streams hold now.
    std::atomic<std::int64_t> held_tokens{0};
    /// \brief Tokens that own streams are expected to hold at each horizon point, and the variance.
    std::array<std::atomic<std::int64_t>, horizon_points> projected{};
    std::array<std::atomic<std::int64_t>, horizon_points> variance{};
    /// \brief Own tokens and streams over the last seconds.
    own_load_history history;
    /// \brief Own dispatches so far, and how many of them the latest report can include.
    std::atomic<std::uint64_t> dispatched{0};
    std::atomic<std::uint64_t> dispatched_at_report{0};
    /// \brief Failures in a row; cleared by the first token of any stream.
    std::atomic<std::uint32_t> consecutive_failures{0};
    /// \brief When this process first saw the upstream, for slow start.
    std::atomic<std::int64_t> first_seen{0};
};

} // namespace plumdale::coordination
