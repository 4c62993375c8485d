#pragma once

#include "connection_failure.hpp"
#include "metrics.hpp"

#include <plumdale/coordination/cut_cause.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// \brief Counters and histograms of a forwarding entry VM.

namespace plumdale::transport
{

/// \brief All counters, in the order of the metrics page.
enum class forward_count : std::uint8_t
{
    calls,
    answered,
    streams_whole,
    ends_asked,
    streams_broken,
    cut_by_upstream,
    cut_after_own_stop,
    cut_by_own_limit,
    cut_by_caller_time,
    cut_by_peer,
    refused,
    refused_on_arrival,
    refused_after_wait,
    waits,
    waits_served,
    callers_left,
    answers_cut,
    sends,
    repeats,
    repeats_denied,
    repeats_released,
    connections_opened,
    connections_reused,
    connections_refused,
    connections_reset,
    connections_timed_out,
    connections_without_path,
    connections_failed_locally,
    reach_losses,
    reach_probes,
    suspicions,
    suspicions_ended,
    suspicion_probes,
    zone_cuts,
    zone_cuts_ended,
    calls_through_peers,
    peers_declined,
    peer_calls,
    peer_calls_declined,
    answers_discarded,
    left_by_answer,
    backoffs,
    copies_first,
    copies_last,
    copies_refused,
    copies_unfitted,
    resumed,
    resume_refused,
    connections_closed_unread,
    upstream_ends,
    upstream_crashes,
    end_probes,
    part_trials,
    quarantine_refused,
    platform_calls,
    platform_failures,
    news_sent,
    news_received,
    news_rejected,
    news_bytes,
    pauses,
    silences,
    refreshes,
    store_fallbacks,
    count ///< Number of counters; no counter itself.
};

/// \brief Counters and latency histograms of the metrics page.
class forward_metrics
{
public:
    /// \brief Upper bounds of the histograms' buckets in milliseconds; the last has none.
    static constexpr std::array<double, 12> bounds_ms{5,   10,  25,   50,   100,  150,
                                                      250, 500, 1000, 2000, 5000, 10000};

    void add(forward_count which, std::uint64_t by = 1) noexcept
    {
        counts_[static_cast<std::size_t>(which)] += by;
    }
    /// \brief Counts an answer that began and did not get whole, by its cause.
    void add_cut(coordination::cut_cause cause) noexcept;
    /// \brief Counts a connection to an upstream that could not be opened, by its reason.
    void add_failed_connection(connection_failure failure) noexcept;
    [[nodiscard]] std::uint64_t value(forward_count which) const noexcept
    {
        return counts_[static_cast<std::size_t>(which)];
    }
    /// \brief Records the time from a call's head to its answer's end, or to a stream's first
    /// event.
    void record_answer_time(state::duration time);
    /// \brief Records a stream's pause between two upstreams.
    void record_move_pause(state::duration pause);
    /// \brief Returns the page in Prometheus's text format.
    [[nodiscard]] std::string text(std::uint64_t lines_dropped) const;

private:
    struct histogram
    {
        std::array<std::uint64_t, bounds_ms.size() + 1> buckets{};
        latency_summary times;

        void add(state::duration time);
        void write(std::string& out, std::string_view name) const;
    };

    std::array<std::uint64_t, static_cast<std::size_t>(forward_count::count)> counts_{};
    histogram answer_times_;
    histogram move_pauses_;
};

} // namespace plumdale::transport
