#pragma once

#include <plumdale/coordination/delivery_counts.hpp>
#include <plumdale/coordination/error_budget_tracker.hpp>
#include <plumdale/state/error_kind.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief The figures that `/metrics` shows.

namespace plumdale::transport
{

/// \brief Count, mean, greatest value and quantiles of a duration, by Boost.Accumulators.
class latency_summary
{
public:
    struct values
    {
        std::uint64_t count = 0;
        double mean = 0.0; ///< Seconds, as all that follow.
        double longest = 0.0;
        double p50 = 0.0;
        double p95 = 0.0;
        double p99 = 0.0;
    };

    latency_summary();
    latency_summary(latency_summary const&) = delete;
    latency_summary& operator=(latency_summary const&) = delete;
    ~latency_summary();

    void add(state::duration time);
    [[nodiscard]] values read() const;

private:
    struct accumulator;
    std::unique_ptr<accumulator> accumulator_;
};

/// \brief Plain counts of one worker, since its start.
struct worker_counts
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t answers_whole = 0;
    std::uint64_t callers_left = 0;
    std::uint64_t malformed = 0;
    std::uint64_t streams_opened = 0;
    std::uint64_t relays = 0;
    std::uint64_t callers_blocked = 0;
    std::int64_t connections = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(state::error_kind::count)> refused{};
};

/// \brief Everything one worker measures; on its thread only.
struct worker_metrics
{
    worker_counts counts;
    latency_summary first_token;
    latency_summary token_gap;
    latency_summary loop_lag;
    coordination::error_budget_tracker error_budgets{coordination::error_budget_settings{}};
};

/// \brief A copy of one worker's figures.
struct worker_sample
{
    worker_counts counts;
    latency_summary::values first_token;
    latency_summary::values token_gap;
    latency_summary::values loop_lag;
    coordination::error_budget_report error_budgets;
};

[[nodiscard]] worker_sample take_sample(worker_metrics const& metrics, state::time_point now);

/// \brief Counts of the control thread, readable from others.
struct control_metrics
{
    std::atomic<std::uint64_t> datagrams_sent{0};
    std::atomic<std::uint64_t> datagrams_received{0};
    std::atomic<std::uint64_t> datagrams_rejected{0};
    std::atomic<std::uint64_t> datagram_bytes_sent{0};
    std::atomic<std::uint64_t> datagram_bytes_received{0};
    std::atomic<std::uint64_t> platform_calls{0};
    std::atomic<std::uint64_t> platform_failures{0};
    std::atomic<std::uint64_t> orders_sent{0};
    std::atomic<std::uint64_t> pauses{0};
};

/// \brief Current values, read when the page is requested.
struct gauge_metrics
{
    std::uint32_t in_flight = 0;
    std::size_t members = 0;
    std::size_t upstreams = 0;
    std::uint64_t preset_revision = 0;
    bool ready = false;
    bool draining = false;
    bool platform_reachable = false;
};

/// \brief A counter of the shards' decisions.
struct delivery_row
{
    std::string_view name;
    std::atomic<std::uint64_t> coordination::delivery_counts::*member;
    std::string_view help;
};

/// \brief Returns the rows that `/metrics` shows of `delivery_counts`.
[[nodiscard]] std::span<delivery_row const> delivery_rows() noexcept;

/// \brief Returns one counter in the page's format.
[[nodiscard]] std::string counter_text(std::string_view name, std::uint64_t value,
                                       std::string_view help);

/// \brief Returns one gauge in the page's format.
[[nodiscard]] std::string gauge_text(std::string_view name, double value, std::string_view help);

/// \brief Returns the page in Prometheus's text format.
[[nodiscard]] std::string metrics_text(std::span<worker_sample const> workers,
                                       control_metrics const& control, gauge_metrics const& gauges);

} // namespace plumdale::transport
