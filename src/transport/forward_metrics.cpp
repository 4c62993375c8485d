#include "forward_metrics.hpp"

#include <algorithm>

namespace plumdale::transport
{
namespace
{

struct count_row
{
    std::string_view name;
    std::string_view help;
};

constexpr std::array<count_row, static_cast<std::size_t>(forward_count::count)> rows{{
    {"plumdale_forward_calls_total", "Calls read whole."},
    {"plumdale_forward_answered_total", "Upstreams' answers passed on whole."},
    {"plumdale_forward_streams_whole_total", "Streams passed on to their end."},
    {"plumdale_forward_ends_asked_total",
     "Questions to upstreams that closed a stream without length or chunks."},
    {"plumdale_forward_streams_broken_total", "Streams broken off."},
    {"plumdale_forward_streams_cut_by_upstream_total",
     "Streams broken off as their upstream ended them and nothing was left to go on from."},
    {"plumdale_forward_streams_cut_after_own_stop_total",
     "Streams broken off after an order of this VM had stopped their run."},
    {"plumdale_forward_streams_cut_by_own_limit_total",
     "Streams broken off by a bound of this VM."},
    {"plumdale_forward_streams_cut_by_caller_time_total",
     "Streams broken off as the time of their caller or route was over."},
    {"plumdale_forward_streams_cut_by_peer_total", "Streams that a peer broke off."},
    {"plumdale_forward_refused_total", "Calls refused as not run."},
    {"plumdale_forward_refused_on_arrival_total",
     "Calls refused at once, as no capacity was expected in their callers' time."},
    {"plumdale_forward_refused_after_wait_total",
     "Calls refused after a wait, as none was expected in what was left of that time."},
    {"plumdale_forward_waits_total", "Calls that began to wait in line."},
    {"plumdale_forward_waits_served_total", "Calls that were sent after such a wait."},
    {"plumdale_forward_callers_left_total", "Callers that left before their answer."},
    {"plumdale_forward_answers_cut_total", "Connections closed with a part of an answer unsent."},
    {"plumdale_forward_sends_total", "Sends to upstreams."},
    {"plumdale_forward_repeats_total", "Sends beyond the first of a call."},
    {"plumdale_forward_repeats_denied_total", "Repeats that the allowance did not cover."},
    {"plumdale_forward_repeats_released_total", "Repeats that were reserved and not sent."},
    {"plumdale_forward_connections_opened_total", "Connections opened to upstreams."},
    {"plumdale_forward_connections_reused_total", "Sends on kept connections."},
    {"plumdale_forward_connections_refused_total", "Connections to upstreams that were refused."},
    {"plumdale_forward_connections_reset_total", "Connections to upstreams reset before use."},
    {"plumdale_forward_connections_timed_out_total", "Connections to upstreams without an answer."},
    {"plumdale_forward_connections_without_path_total",
     "Connections to upstreams to which the network knows no path."},
    {"plumdale_forward_connections_failed_locally_total",
     "Connections to upstreams that this VM could not open itself."},
    {"plumdale_forward_reach_losses_total", "Times that no upstream could be connected to."},
    {"plumdale_forward_reach_probes_total", "Connections opened to see whether one can."},
    {"plumdale_forward_suspicions_total", "Times that an upstream became suspected to be gone."},
    {"plumdale_forward_suspicions_ended_total", "Times that one was no longer suspected."},
    {"plumdale_forward_suspicion_probes_total",
     "Connections opened to see whether an upstream is gone."},
    {"plumdale_forward_zone_cuts_total", "Times that another zone was no longer reached."},
    {"plumdale_forward_zone_cuts_ended_total", "Times that such a zone was reached again."},
    {"plumdale_forward_calls_through_peers_total", "Calls that a peer took from this VM."},
    {"plumdale_forward_peers_declined_total", "Peers that took no call from this VM."},
    {"plumdale_forward_peer_calls_total", "Calls taken from peers."},
    {"plumdale_forward_peer_calls_declined_total", "Calls of peers that this VM did not take."},
    {"plumdale_forward_answers_discarded_total", "Late, extra or spoiled answers."},
    {"plumdale_forward_left_by_answer_total",
     "Upstreams whose own answer was the first to say that they leave."},
    {"plumdale_forward_backoffs_total",
     "Refusals of upstreams that asked for a time without requests."},
    {"plumdale_forward_copies_first_total", "Memory copies ordered while a generation ran."},
    {"plumdale_forward_copies_last_total", "Copies ordered that stopped a generation."},
    {"plumdale_forward_copies_refused_total", "Orders to copy that were refused."},
    {"plumdale_forward_copies_unfitted_total",
     "Generations on leaving upstreams whose copy fitted nowhere at some moment."},
    {"plumdale_forward_resumed_total", "Generations gone on at another upstream."},
    {"plumdale_forward_resume_refused_total", "Resumptions that did not run."},
    {"plumdale_forward_connections_closed_unread_total",
     "New connections of callers closed before anything was read."},
    {"plumdale_forward_upstream_ends_total",
     "Upstreams that ended while they ran a request, counted once a request."},
    {"plumdale_forward_upstream_crashes_total",
     "Upstreams that crashed as they began to answer a request, counted once a request."},
    {"plumdale_forward_end_probes_total", "Connections opened to see whether an upstream crashed."},
    {"plumdale_forward_part_trials_total", "Calls sent to try a refused part of a prompt again."},
    {"plumdale_forward_quarantine_refused_total",
     "Calls refused since upstreams ended under their request, or a part of its prompt."},
    {"plumdale_forward_platform_calls_total", "Calls to the platform's store."},
    {"plumdale_forward_platform_failures_total", "Calls to the store without a good answer."},
    {"plumdale_forward_news_sent_total", "Datagrams of news sent."},
    {"plumdale_forward_news_received_total", "Datagrams of news taken."},
    {"plumdale_forward_news_rejected_total", "Datagrams that were not authentic or malformed."},
    {"plumdale_forward_news_bytes_total", "Bytes of news sent."},
    {"plumdale_forward_pauses_total", "Times that the process did not run."},
    {"plumdale_forward_silences_total", "Times that no peer was heard for a while."},
    {"plumdale_forward_refreshes_total", "Times that peers were asked for what was missed."},
    {"plumdale_forward_store_fallbacks_total", "Reads of the store because peers could not help."},
}};

double milliseconds(state::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void forward_metrics::histogram::add(state::duration time)
{
    auto const bucket = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), milliseconds(time));
    ++buckets[static_cast<std::size_t>(bucket - bounds_ms.begin())];
    times.add(time);
}

void forward_metrics::histogram::write(std::string& out, std::string_view name) const
{
    out.append("# TYPE ").append(name).append(" histogram\n");
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i <= bounds_ms.size(); ++i)
    {
        sum += buckets[i];
        std::string const bound =
            i == bounds_ms.size() ? "+Inf" : std::to_string(bounds_ms[i] / 1000.0);
        out.append(name).append("_bucket{le=\"").append(bound).append("\"} ");
        out.append(std::to_string(sum)).append("\n");
    }
    latency_summary::values const values = times.read();
    out.append(name).append("_sum ");
    out.append(std::to_string(values.mean * static_cast<double>(values.count))).append("\n");
    out.append(name).append("_count ").append(std::to_string(sum)).append("\n");
}

void forward_metrics::add_cut(coordination::cut_cause cause) noexcept
{
    static constexpr std::array<forward_count,
                                static_cast<std::size_t>(coordination::cut_cause::count)>
        counts{forward_count::cut_by_upstream, forward_count::cut_after_own_stop,
               forward_count::cut_by_own_limit, forward_count::cut_by_caller_time,
               forward_count::cut_by_peer};
    add(forward_count::streams_broken);
    add(counts[static_cast<std::size_t>(cause)]);
}

void forward_metrics::add_failed_connection(connection_failure failure) noexcept
{
    static constexpr std::array<forward_count, 6> counts{
        forward_count::connections_failed_locally, forward_count::connections_refused,
        forward_count::connections_reset,          forward_count::connections_timed_out,
        forward_count::connections_without_path,   forward_count::connections_failed_locally};
    add(counts[static_cast<std::size_t>(failure)]);
}

void forward_metrics::record_answer_time(state::duration time)
{
    answer_times_.add(time);
}

void forward_metrics::record_move_pause(state::duration pause)
{
    move_pauses_.add(pause);
}

std::string forward_metrics::text(std::uint64_t lines_dropped) const
{
    std::string out;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        out += counter_text(rows[i].name, counts_[i], rows[i].help);
    }
    out += counter_text("plumdale_forward_log_lines_dropped_total", lines_dropped,
                        "Log lines that found no room.");
    answer_times_.write(out, "plumdale_forward_answer_seconds");
    move_pauses_.write(out, "plumdale_forward_move_pause_seconds");
    return out;
}

} // namespace plumdale::transport
