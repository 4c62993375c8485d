#pragma once

#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/length_estimator.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstdint>
#include <span>

/// \file
/// \brief Projects the memory and batch of engines from delayed reports and own streams.

namespace plumdale::coordination
{

/// \brief Tokens that a stream or engine is expected to hold at each horizon point, with variance.
struct load_forecast
{
    std::array<double, horizon_points> mean{};
    std::array<double, horizon_points> variance{};
};

/// \brief One own stream as the gauges count it.
struct stream_load
{
    std::int64_t held = 0;
    std::array<std::int64_t, horizon_points> projected{};
    std::array<std::int64_t, horizon_points> variance{};
};

/// \brief Expected load of one engine.
struct engine_forecast
{
    /// \brief Key-value memory in tokens; zero before the first report.
    double capacity = 0.0;
    /// \brief Tokens held now, own and others'.
    double held = 0.0;
    load_forecast load;
    /// \brief Sequences running or waiting there now, own and others'.
    double batch = 0.0;
    /// \brief Age of the report.
    state::duration age{};
};

/// \brief Forecasts for one shard.
///
/// Own streams are known token by token. The others' part is the report minus what this entry VM
/// held at the time of the report; it is assumed to grow and end as own streams do. A lost report
/// therefore costs only the change of the others' part. That part stays between zero and the
/// engine's memory, whatever a report says.
class load_forecaster
{
public:
    explicit load_forecaster(length_estimator& lengths);

    /// \brief Learns the growth of own streams and the rates of tokens and dispatches from all
    /// engines that own streams run on. To be called several times a second.
    /// \param dispatchers How many shards of entry VMs send to one of these engines, on average,
    /// including this one.
    void refresh(std::span<upstream_view const* const> engines, double dispatchers,
                 state::duration horizon, state::time_point now);

    /// \brief Returns the forecast of one engine.
    [[nodiscard]] engine_forecast forecast(upstream_gauge const& gauge,
                                           state::time_point now) const noexcept;
    /// \brief Returns the forecast of one stream that holds `held` tokens, `so_far` of them its
    /// output.
    [[nodiscard]] load_forecast forecast(length_estimator::estimate_id estimate,
                                         std::uint32_t so_far, std::uint32_t held,
                                         std::uint32_t max_tokens) const noexcept;

    /// \brief Replaces one stream's contribution to a gauge; `before` is empty for a new stream and
    /// `after` for one that ended.
    static void update_gauge(upstream_gauge& gauge, stream_load const& before,
                             stream_load const& after, state::time_point now) noexcept;
    /// \brief Rounds a forecast to the integers that gauges count.
    [[nodiscard]] static stream_load rounded(double held, load_forecast const& forecast) noexcept;

    /// \brief Counts `count` tokens received.
    void count_tokens(std::uint32_t count) noexcept;
    /// \brief Returns the tokens per second of one stream.
    [[nodiscard]] double token_rate() const noexcept;
    /// \brief Returns the horizon points in seconds.
    [[nodiscard]] std::array<double, horizon_points> const& horizon_seconds() const noexcept;

private:
    length_estimator& lengths_;
    std::array<double, horizon_points> horizon_seconds_{5.0, 10.0, 20.0};
    /// \brief Others' projected tokens at each point, and their variance, per token they hold now.
    std::array<double, horizon_points> growth_ratio_{1.0, 1.0, 1.0};
    std::array<double, horizon_points> variance_per_token_{};
    /// \brief Rate per second at which others start streams on one engine, and the tokens of a
    /// stream.
    double others_start_rate_ = 0.0;
    double stream_tokens_ = 0.0;
    /// \brief Others' streams assumed to start with each own one until the next report.
    double unreported_per_own_ = 0.0;
    double token_rate_ = 30.0;
    std::uint64_t tokens_ = 0;
    std::uint64_t dispatched_ = 0;
    state::time_point refreshed_{};
};

} // namespace plumdale::coordination
