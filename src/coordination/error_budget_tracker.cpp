#include <plumdale/coordination/error_budget_tracker.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <map>

namespace plumdale::coordination
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using latency_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

latency_accumulator make_latency_accumulator()
{
    return latency_accumulator{acc::tag::extended_p_square::probabilities = quantiles};
}

double milliseconds(state::duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

// The estimator needs one sample for each marker; with fewer samples its quantiles are invalid.
latency_quantiles quantiles_of(latency_accumulator const& from)
{
    static_assert(latency_quantiles::min_samples == 2 * quantiles.size() + 3);
    latency_quantiles to;
    to.samples = acc::count(from);
    if (to.has_estimate())
    {
        auto const values = acc::extended_p_square(from);
        to.p50 = values[0];
        to.p95 = values[1];
        to.p99 = values[2];
    }
    return to;
}

/// Counts over one sliding window that advances by whole slots.
class slot_ring
{
public:
    void add(std::int64_t slot, bool good)
    {
        advance_to(slot);
        event_counts& count = slots_[index(newest_)];
        ++(good ? count.good : count.bad);
    }

    [[nodiscard]] error_budget_window read(std::int64_t slot) const
    {
        error_budget_window window;
        for (std::size_t i = 0; i < slots_per_window; ++i)
        {
            std::int64_t const wanted = slot - static_cast<std::int64_t>(slots_per_window - 1 - i);
            if (wanted <= newest_ && wanted > newest_ - static_cast<std::int64_t>(slots_per_window))
            {
                window.slots[i] = slots_[index(wanted)];
                window.total.good += window.slots[i].good;
                window.total.bad += window.slots[i].bad;
            }
        }
        return window;
    }

private:
    [[nodiscard]] static std::size_t index(std::int64_t slot)
    {
        constexpr auto count = static_cast<std::int64_t>(slots_per_window);
        return static_cast<std::size_t>((slot % count + count) % count);
    }

    void advance_to(std::int64_t slot)
    {
        std::int64_t const oldest = slot - static_cast<std::int64_t>(slots_per_window);
        for (std::int64_t next = std::max(newest_, oldest) + 1; next <= slot; ++next)
        {
            slots_[index(next)] = {};
        }
        newest_ = std::max(newest_, slot);
    }

    std::array<event_counts, slots_per_window> slots_{};
    std::int64_t newest_ = 0;
};

std::int64_t slot_of(state::time_point now, state::duration window)
{
    return now.time_since_epoch() / (window / slots_per_window);
}

void add(error_budget_window& to, error_budget_window const& from)
{
    to.total.good += from.total.good;
    to.total.bad += from.total.bad;
    for (std::size_t i = 0; i < slots_per_window; ++i)
    {
        to.slots[i].good += from.slots[i].good;
        to.slots[i].bad += from.slots[i].bad;
    }
}

latency_quantiles average(latency_quantiles const& a, latency_quantiles const& b)
{
    latency_quantiles to;
    to.samples = a.samples + b.samples;
    if (to.samples == 0)
    {
        return to;
    }
    double const share = static_cast<double>(b.samples) / static_cast<double>(to.samples);
    to.p50 = a.p50 + (b.p50 - a.p50) * share;
    to.p95 = a.p95 + (b.p95 - a.p95) * share;
    to.p99 = a.p99 + (b.p99 - a.p99) * share;
    return to;
}

void add(error_budget_row& to, error_budget_row const& from)
{
    for (std::size_t i = 0; i < objective_count; ++i)
    {
        for (std::size_t w = 0; w < error_budget_window_count; ++w)
        {
            add(to.objectives[i][w], from.objectives[i][w]);
        }
    }
    to.first_token = average(to.first_token, from.first_token);
    to.token_gap = average(to.token_gap, from.token_gap);
}

} // namespace

double burn_rate(event_counts count, double share) noexcept
{
    std::uint64_t const all = count.good + count.bad;
    if (all == 0 || share >= 1.0)
    {
        return 0.0;
    }
    return static_cast<double>(count.bad) / static_cast<double>(all) / (1.0 - share);
}

// A request that its caller must correct is no failure of the service and uses no error budget.
answer_outcome answer_outcome_for(state::error_kind kind, bool began) noexcept
{
    if (began)
    {
        return answer_outcome::broken;
    }
    state::error_answer const& row = state::answer_for(kind);
    bool const is_caller_error = row.status < 500 && !row.retry_after;
    if (is_caller_error)
    {
        return answer_outcome::left;
    }
    return row.claim == state::run_claim::not_run ? answer_outcome::refused
                                                  : answer_outcome::broken;
}

error_budget_report merge(std::span<error_budget_report const> reports)
{
    std::map<error_budget_key, error_budget_row> rows;
    for (error_budget_report const& report : reports)
    {
        for (error_budget_row const& row : report)
        {
            auto const inserted = rows.try_emplace(row.key);
            inserted.first->second.key = row.key;
            add(inserted.first->second, row);
        }
    }
    error_budget_report merged;
    for (auto const& held : rows)
    {
        merged.push_back(held.second);
    }
    return merged;
}

class error_budget_tracker::row
{
public:
    void count(error_budget_settings const& settings, objective what, bool good,
               state::time_point now)
    {
        auto& rings = rings_[static_cast<std::size_t>(what)];
        for (std::size_t w = 0; w < error_budget_window_count; ++w)
        {
            rings[w].add(slot_of(now, settings.windows[w]), good);
        }
    }

    [[nodiscard]] error_budget_row read(error_budget_settings const& settings,
                                        state::time_point now) const
    {
        error_budget_row to;
        for (std::size_t i = 0; i < objective_count; ++i)
        {
            for (std::size_t w = 0; w < error_budget_window_count; ++w)
            {
                to.objectives[i][w] = rings_[i][w].read(slot_of(now, settings.windows[w]));
            }
        }
        to.first_token = quantiles_of(first_token);
        to.token_gap = quantiles_of(token_gap);
        return to;
    }

    latency_accumulator first_token = make_latency_accumulator();
    latency_accumulator token_gap = make_latency_accumulator();

private:
    std::array<std::array<slot_ring, error_budget_window_count>, objective_count> rings_;
};

struct error_budget_tracker::rows
{
    std::map<error_budget_key, row> held;
};

error_budget_tracker::error_budget_tracker(error_budget_settings const& settings)
    : settings_{settings}, rows_{std::make_unique<rows>()}
{
}

error_budget_tracker::~error_budget_tracker() = default;

// A caller may name any service, known or not, so without a limit the number of rows would not be
// bounded.
error_budget_tracker::row& error_budget_tracker::row_for(error_budget_key key)
{
    auto const found = rows_->held.find(key);
    if (found != rows_->held.end())
    {
        return found->second;
    }
    bool const full = rows_->held.size() >= settings_.max_rows;
    return rows_->held[full ? error_budget_key{} : key];
}

void error_budget_tracker::record_first_token(error_budget_key key, state::duration waited,
                                              state::time_point now)
{
    row& counted = row_for(key);
    auto const limit = settings_.targets[static_cast<std::size_t>(objective::first_token)].limit;
    counted.count(settings_, objective::first_token, waited <= limit, now);
    counted.first_token(milliseconds(waited));
}

void error_budget_tracker::record_token_gap(error_budget_key key, state::duration gap,
                                            state::time_point now)
{
    row& counted = row_for(key);
    auto const limit = settings_.targets[static_cast<std::size_t>(objective::token_gap)].limit;
    counted.count(settings_, objective::token_gap, gap <= limit, now);
    counted.token_gap(milliseconds(gap));
}

void error_budget_tracker::record_outcome(error_budget_key key, answer_outcome outcome,
                                          state::time_point now)
{
    if (outcome == answer_outcome::left)
    {
        return;
    }
    row& counted = row_for(key);
    bool const refused = outcome == answer_outcome::refused;
    counted.count(settings_, objective::admission, !refused, now);
    if (!refused)
    {
        counted.count(settings_, objective::whole_answer, outcome == answer_outcome::whole, now);
    }
}

error_budget_report error_budget_tracker::report(state::time_point now) const
{
    error_budget_report to;
    for (auto const& held : rows_->held)
    {
        to.push_back(held.second.read(settings_, now));
        to.back().key = held.first;
    }
    return to;
}

error_budget_settings const& error_budget_tracker::settings() const noexcept
{
    return settings_;
}

} // namespace plumdale::coordination
