#include "metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace plumdale::transport
{
namespace
{

namespace acc = boost::accumulators;

using statistics =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

// A quantile is interpolated between its neighbours, so each that is shown has one on both sides.
constexpr std::array<double, 6> probabilities{0.25, 0.5, 0.75, 0.95, 0.99, 0.999};

} // namespace

struct latency_summary::accumulator
{
    statistics set{acc::extended_p_square_probabilities = probabilities};
};

latency_summary::latency_summary() : accumulator_{std::make_unique<accumulator>()} {}

latency_summary::~latency_summary() = default;

void latency_summary::add(state::duration time)
{
    accumulator_->set(std::chrono::duration<double>(time).count());
}

latency_summary::values latency_summary::read() const
{
    statistics const& set = accumulator_->set;
    values read;
    read.count = acc::count(set);
    if (read.count == 0)
    {
        return read;
    }
    read.mean = acc::mean(set);
    read.longest = acc::max(set);
    // With fewer samples than markers the estimator has no estimate yet. The longest value never
    // understates a quantile.
    constexpr std::size_t markers = 2 * probabilities.size() + 3;
    auto const at = [&](double probability)
    {
        return read.count < markers ? read.longest
                                    : acc::quantile(set, acc::quantile_probability = probability);
    };
    read.p50 = at(0.5);
    read.p95 = at(0.95);
    read.p99 = at(0.99);
    return read;
}

worker_sample take_sample(worker_metrics const& metrics, state::time_point now)
{
    return {metrics.counts, metrics.first_token.read(), metrics.token_gap.read(),
            metrics.loop_lag.read(), metrics.error_budgets.report(now)};
}

namespace
{

class text_writer
{
public:
    void describe(std::string_view name, std::string_view type, std::string_view help)
    {
        name_ = name;
        text_ += "# HELP plumdale_" + name_ + ' ' + std::string{help} + '\n';
        text_ += "# TYPE plumdale_" + name_ + ' ' + std::string{type} + '\n';
    }

    void line(std::string_view suffix, std::string_view labels, double value)
    {
        std::array<char, 32> number{};
        std::snprintf(number.data(), number.size(), "%.9g", value);
        text_ += "plumdale_" + name_ + std::string{suffix};
        text_ += labels.empty() ? " " : "{" + std::string{labels} + "} ";
        text_ += std::string{number.data()} + '\n';
    }

    void counter(std::string_view name, std::uint64_t value, std::string_view help)
    {
        describe(name, "counter", help);
        line("", "", static_cast<double>(value));
    }

    void gauge(std::string_view name, double value, std::string_view help)
    {
        describe(name, "gauge", help);
        line("", "", value);
    }

    [[nodiscard]] std::string take()
    {
        return std::move(text_);
    }

private:
    std::string name_;
    std::string text_;
};

using summary_member = latency_summary::values worker_sample::*;
using count_member = std::uint64_t worker_counts::*;

// Quantiles of several workers are averaged with their counts as weights: connections are
// distributed over the workers in turn, so their distributions are alike.
latency_summary::values merged(std::span<worker_sample const> workers, summary_member member)
{
    latency_summary::values all;
    for (worker_sample const& each : workers)
    {
        latency_summary::values const& one = each.*member;
        auto const weight = static_cast<double>(one.count);
        all.count += one.count;
        all.mean += weight * one.mean;
        all.p50 += weight * one.p50;
        all.p95 += weight * one.p95;
        all.p99 += weight * one.p99;
        all.longest = std::max(all.longest, one.longest);
    }
    double const total = all.count == 0 ? 1.0 : static_cast<double>(all.count);
    for (double* const each : {&all.mean, &all.p50, &all.p95, &all.p99})
    {
        *each /= total;
    }
    return all;
}

void write_summary(text_writer& writer, std::string_view name, std::string_view help,
                   latency_summary::values const& values)
{
    writer.describe(name, "summary", help);
    writer.line("", "quantile=\"0.5\"", values.p50);
    writer.line("", "quantile=\"0.95\"", values.p95);
    writer.line("", "quantile=\"0.99\"", values.p99);
    writer.line("", "quantile=\"1\"", values.longest);
    writer.line("_sum", "", values.mean * static_cast<double>(values.count));
    writer.line("_count", "", static_cast<double>(values.count));
}

struct count_row
{
    std::string_view name;
    count_member member;
    std::string_view help;
};

constexpr std::array<count_row, 9> count_rows{{
    {"requests_total", &worker_counts::requests, "Requests of callers."},
    {"tokens_total", &worker_counts::tokens, "Tokens sent to callers."},
    {"sent_bytes_total", &worker_counts::bytes_sent, "Bytes sent to callers."},
    {"answers_whole_total", &worker_counts::answers_whole, "Answers that were sent whole."},
    {"callers_left_total", &worker_counts::callers_left, "Callers that left before the end."},
    {"malformed_total", &worker_counts::malformed, "Requests that were no valid HTTP."},
    {"upstream_streams_total", &worker_counts::streams_opened, "Exchanges opened with upstreams."},
    {"relays_total", &worker_counts::relays, "Requests passed to their owner."},
    {"callers_blocked_total", &worker_counts::callers_blocked,
     "Times that a caller read too slowly."},
}};

std::uint64_t sum(std::span<worker_sample const> workers, count_member member)
{
    std::uint64_t total = 0;
    for (worker_sample const& each : workers)
    {
        total += each.counts.*member;
    }
    return total;
}

void write_refusals(text_writer& writer, std::span<worker_sample const> workers)
{
    writer.describe("refused_total", "counter", "Refusals and broken answers by kind.");
    for (state::error_answer const& row : state::error_table())
    {
        std::uint64_t total = 0;
        for (worker_sample const& each : workers)
        {
            total += each.counts.refused[static_cast<std::size_t>(row.kind)];
        }
        writer.line("", "kind=\"" + std::string{row.name} + "\"", static_cast<double>(total));
    }
}

void write_control(text_writer& writer, control_metrics const& control)
{
    writer.counter("datagrams_sent_total", control.datagrams_sent, "Datagrams sent to peers.");
    writer.counter("datagrams_received_total", control.datagrams_received,
                   "Authentic datagrams of peers.");
    writer.counter("datagrams_rejected_total", control.datagrams_rejected,
                   "Datagrams dropped: wrong MAC or malformed.");
    writer.counter("datagram_bytes_sent_total", control.datagram_bytes_sent,
                   "Bytes of datagrams sent.");
    writer.counter("datagram_bytes_received_total", control.datagram_bytes_received,
                   "Bytes of datagrams received.");
    writer.counter("platform_calls_total", control.platform_calls,
                   "Calls to the platform, a watch as one.");
    writer.counter("platform_failures_total", control.platform_failures,
                   "Calls to the platform that failed.");
    writer.counter("orders_sent_total", control.orders_sent, "Orders sent to engines.");
    writer.counter("pauses_total", control.pauses, "Times that the process did not run.");
}

void write_gauges(text_writer& writer, gauge_metrics const& gauges)
{
    writer.gauge("in_flight", gauges.in_flight, "Requests in flight.");
    writer.gauge("members", static_cast<double>(gauges.members), "Other entry VMs known.");
    writer.gauge("upstreams", static_cast<double>(gauges.upstreams), "Upstreams known.");
    writer.gauge("preset_revision", static_cast<double>(gauges.preset_revision),
                 "Revision of the preset in force.");
    writer.gauge("ready", gauges.ready ? 1 : 0, "Whether requests are taken.");
    writer.gauge("draining", gauges.draining ? 1 : 0, "Whether a drain has begun.");
    writer.gauge("platform_reachable", gauges.platform_reachable ? 1 : 0,
                 "Whether the configuration service answers.");
}

using coordination::delivery_counts;

constexpr std::array<delivery_row, 8> shard_rows{{
    {"tokens_crossed_total", &delivery_counts::wrong_identity,
     "Tokens of another identity, dropped."},
    {"tokens_duplicate_total", &delivery_counts::duplicate, "Tokens delivered before, dropped."},
    {"tokens_skipped_total", &delivery_counts::skipped, "Tokens after a gap, dropped."},
    {"events_late_total", &delivery_counts::late, "Events of exchanges that are closed."},
    {"streams_resumed_total", &delivery_counts::resumed, "Streams read on by a new connection."},
    {"generations_restarted_total", &delivery_counts::restarted, "Generations run anew."},
    {"callers_superseded_total", &delivery_counts::superseded, "Callers replaced by a later one."},
    {"keys_in_doubt_total", &delivery_counts::in_doubt, "Keys refused as in doubt."},
}};

} // namespace

std::span<delivery_row const> delivery_rows() noexcept
{
    return shard_rows;
}

std::string counter_text(std::string_view name, std::uint64_t value, std::string_view help)
{
    text_writer writer;
    writer.counter(name, value, help);
    return writer.take();
}

std::string gauge_text(std::string_view name, double value, std::string_view help)
{
    text_writer writer;
    writer.gauge(name, value, help);
    return writer.take();
}

std::string metrics_text(std::span<worker_sample const> workers, control_metrics const& control,
                         gauge_metrics const& gauges)
{
    text_writer writer;
    for (count_row const& row : count_rows)
    {
        writer.counter(row.name, sum(workers, row.member), row.help);
    }
    std::int64_t connections = 0;
    for (worker_sample const& each : workers)
    {
        connections += each.counts.connections;
    }
    writer.gauge("connections", static_cast<double>(connections), "Open connections of callers.");
    write_refusals(writer, workers);
    write_summary(writer, "first_token_seconds", "Time to the first token.",
                  merged(workers, &worker_sample::first_token));
    write_summary(writer, "token_gap_seconds", "Time between two tokens of an answer.",
                  merged(workers, &worker_sample::token_gap));
    write_summary(writer, "loop_lag_seconds", "How late a worker's timer fires.",
                  merged(workers, &worker_sample::loop_lag));
    write_control(writer, control);
    write_gauges(writer, gauges);
    return writer.take();
}

} // namespace plumdale::transport
