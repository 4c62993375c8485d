#include <plumdale/coordination/load_forecaster.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;
/// Tokens of own streams that the starting ratio counts for, so that two or three own streams don't
/// speak for a full engine.
constexpr double prior_tokens = 2000.0;
/// A report older than this says nothing of what others hold now; the forecast then widens no more.
constexpr double oldest_report_seconds = 10.0;
/// Weight of the newest refresh in the smoothed rates.
constexpr double smoothing = 0.1;
/// Streams of one other entry VM that are likely to have gone where own ones went since the report:
/// it saw the same room. Bounded, since more than a few find it taken by their next report.
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

    double const passed = seconds(now - refreshed_);
    bool const usable = refreshed_ != state::time_point{} && passed > 0.0;
    if (usable && streams >= 1.0 && tokens_ > 0)
    {
        double const rate = static_cast<double>(tokens_) / passed / streams;
        token_rate_ +=
            smoothing * (std::clamp(rate, lowest_token_rate, highest_token_rate) - token_rate_);
    }
    if (usable && dispatched >= dispatched_ && !engines.empty())
    {
        double const own = static_cast<double>(dispatched - dispatched_) / passed;
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
    own_load_sample const then = gauge.history.at(reported, now, own);

    // A report that is wrong can't make the others' part negative or larger than the memory.
    double const used = std::min(gauge.blocks_used.load(relaxed) * block, result.capacity);
    double const others = std::max(0.0, used - then.tokens);
    double const sequences =
        static_cast<double>(gauge.running.load(relaxed)) + gauge.waiting.load(relaxed);
    double const others_batch = std::max(0.0, sequences - then.streams);
    double const late = std::min(seconds(result.age), oldest_report_seconds);
    // Others start as many streams as end, on average; the chance difference widens the forecast.
    double const unseen = 2.0 * others_start_rate_ * late;

    // A stream that was started just now holds about half of what an average one does.
    double const followed = own.streams > then.streams ? own.streams - then.streams : 0.0;
    double const unseen_tokens = 0.5 * stream_tokens_ * unreported_per_own_ * followed;

    result.held = own.tokens + others;
    result.batch = own.streams + others_batch;
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        auto const mine = static_cast<double>(gauge.projected[i].load(relaxed));
        auto const deviation = static_cast<double>(gauge.variance[i].load(relaxed));
        result.load.mean[i] = std::max(0.0, mine) + others * growth_ratio_[i] + unseen_tokens;
        result.load.variance[i] = std::max(0.0, deviation) + others * variance_per_token_[i] +
                                  unseen * square(stream_tokens_ * growth_ratio_[i]);
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
