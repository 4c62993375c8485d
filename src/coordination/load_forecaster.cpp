#include <plumdale/coordination/load_forecaster.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;
/// Weight of the initial ratio, in tokens of own streams, so that two or three own streams don't
/// determine the growth assumed for a full engine.
constexpr double prior_tokens = 2000.0;
/// Age after which a report says nothing about what others hold now, so that the variance of the
/// forecast stops growing.
constexpr double max_report_age_seconds = 10.0;
/// Weight of the newest refresh in the smoothed rates.
constexpr double smoothing = 0.1;
/// Expected streams that one other dispatcher sent since the report to where an own one went, as it
/// saw the same free memory. Bounded, since after a few streams the next report shows it taken.
constexpr double unreported_per_dispatcher = 0.3;
constexpr double max_unreported_per_own = 3.0;
constexpr double lowest_token_rate = 5.0;
constexpr double highest_token_rate = 200.0;

double seconds(state::duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

double square(double x) noexcept
{
    return x * x;
}

} // namespace

load_forecaster::load_forecaster(length_estimator& lengths) : lengths_{lengths} {}

// -- rates ----------------------------------------------------------------------------------------

void load_forecaster::refresh(std::span<upstream_view const* const> engines, double dispatchers,
                              state::duration horizon, state::time_point now)
{
    double const whole = seconds(horizon);
    horizon_seconds_ = {whole / 4, whole / 2, whole};
    double held = 0.0;
    double streams = 0.0;
    std::uint64_t dispatched = 0;
    std::array<double, horizon_points> projected{};
    std::array<double, horizon_points> variance{};
    for (upstream_view const* const each : engines)
    {
        upstream_gauge const& gauge = *each->gauge;
        held += static_cast<double>(gauge.held_tokens.load(relaxed));
        streams += gauge.in_flight.load(relaxed);
        dispatched += gauge.dispatched.load(relaxed);
        for (std::size_t i = 0; i < horizon_points; ++i)
        {
            projected[i] += static_cast<double>(gauge.projected[i].load(relaxed));
            variance[i] += static_cast<double>(gauge.variance[i].load(relaxed));
        }
    }
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        growth_ratio_[i] = (std::max(0.0, projected[i]) + prior_tokens) / (held + prior_tokens);
        variance_per_token_[i] = std::max(0.0, variance[i]) / (held + prior_tokens);
    }
    stream_tokens_ = streams > 0.0 ? held / streams : 0.0;

    double const elapsed = seconds(now - refreshed_);
    bool const usable = refreshed_ != state::time_point{} && elapsed > 0.0;
    if (usable && streams >= 1.0 && tokens_ > 0)
    {
        double const rate = static_cast<double>(tokens_) / elapsed / streams;
        token_rate_ +=
            smoothing * (std::clamp(rate, lowest_token_rate, highest_token_rate) - token_rate_);
    }
    if (usable && dispatched >= dispatched_ && !engines.empty())
    {
        double const own = static_cast<double>(dispatched - dispatched_) / elapsed;
        double const others = own * (dispatchers - 1.0) / static_cast<double>(engines.size());
        others_start_rate_ += smoothing * (others - others_start_rate_);
    }
    tokens_ = 0;
    dispatched_ = dispatched;
    refreshed_ = now;
    unreported_per_own_ =
        std::min(max_unreported_per_own, unreported_per_dispatcher * (dispatchers - 1.0));
}

void load_forecaster::count_tokens(std::uint32_t count) noexcept
{
    tokens_ += count;
}

double load_forecaster::token_rate() const noexcept
{
    return token_rate_;
}

std::array<double, horizon_points> const& load_forecaster::horizon_seconds() const noexcept
{
    return horizon_seconds_;
}

// -- forecasts ------------------------------------------------------------------------------------

load_forecast load_forecaster::forecast(length_estimator::estimate_id estimate,
                                        std::uint32_t so_far, std::uint32_t held,
                                        std::uint32_t max_tokens) const noexcept
{
    load_forecast result;
    double alive = 1.0;
    double grown = 0.0;
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        double const growth = horizon_seconds_[i] * token_rate_;
        auto const from = so_far + static_cast<std::uint32_t>(grown);
        alive *= lengths_.survival(estimate, from, growth - grown);
        grown = growth;
        if (max_tokens != 0 && so_far + growth >= max_tokens)
        {
            alive = 0.0;
        }
        double const size = held + growth;
        result.mean[i] = alive * size;
        result.variance[i] = alive * (1.0 - alive) * square(size);
    }
    return result;
}

engine_forecast load_forecaster::forecast(upstream_gauge const& gauge,
                                          state::time_point now) const noexcept
{
    engine_forecast result;
    own_load_sample const own{
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, gauge.held_tokens.load(relaxed))),
        gauge.in_flight.load(relaxed)};
    state::time_point const reported{state::duration{gauge.reported_at.load(relaxed)}};
    double const block = gauge.block_tokens.load(relaxed);
    result.capacity = gauge.blocks_total.load(relaxed) * block;
    result.age = now - reported;
    own_load_sample const own_at_report = gauge.history.at(reported, now, own);

    // A report that is wrong can't make the others' part negative or larger than the memory.
    double const used = std::min(gauge.blocks_used.load(relaxed) * block, result.capacity);
    double const others = std::max(0.0, used - own_at_report.tokens);
    double const sequences =
        static_cast<double>(gauge.running.load(relaxed)) + gauge.waiting.load(relaxed);
    double const others_batch = std::max(0.0, sequences - own_at_report.streams);
    double const capped_age = std::min(seconds(result.age), max_report_age_seconds);
    // On average others start as many streams as end; random differences add to the variance.
    double const unreported_streams = 2.0 * others_start_rate_ * capped_age;

    // A stream that has just started holds about half as much as an average one.
    double const own_starts =
        own.streams > own_at_report.streams ? own.streams - own_at_report.streams : 0.0;
    double const unreported_tokens = 0.5 * stream_tokens_ * unreported_per_own_ * own_starts;

    result.held = own.tokens + others;
    result.batch = own.streams + others_batch;
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        auto const own_mean = static_cast<double>(gauge.projected[i].load(relaxed));
        auto const own_variance = static_cast<double>(gauge.variance[i].load(relaxed));
        result.load.mean[i] =
            std::max(0.0, own_mean) + others * growth_ratio_[i] + unreported_tokens;
        result.load.variance[i] = std::max(0.0, own_variance) + others * variance_per_token_[i] +
                                  unreported_streams * square(stream_tokens_ * growth_ratio_[i]);
    }
    return result;
}

// -- own streams ----------------------------------------------------------------------------------

stream_load load_forecaster::rounded(double held, load_forecast const& forecast) noexcept
{
    stream_load load;
    load.held = std::llround(held);
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        load.projected[i] = std::llround(forecast.mean[i]);
        load.variance[i] = std::llround(forecast.variance[i]);
    }
    return load;
}

void load_forecaster::update_gauge(upstream_gauge& gauge, stream_load const& before,
                                   stream_load const& after, state::time_point now) noexcept
{
    std::int64_t const change = after.held - before.held;
    std::int64_t const held = gauge.held_tokens.fetch_add(change, relaxed) + change;
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        gauge.projected[i].fetch_add(after.projected[i] - before.projected[i], relaxed);
        gauge.variance[i].fetch_add(after.variance[i] - before.variance[i], relaxed);
    }
    gauge.history.note(now, {static_cast<std::uint32_t>(std::max<std::int64_t>(0, held)),
                             gauge.in_flight.load(relaxed)});
}

} // namespace plumdale::coordination
