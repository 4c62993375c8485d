#pragma once

#include <plumdale/state/preset.hpp>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// \file
/// \brief Sizes, demand and faults of one run of the policy bench.

namespace bench
{

enum class fault_kind : std::uint8_t
{
    none,
    engine_death, ///< One engine dies and restarts empty 20 s later.
    third_dies,   ///< A third of the engines die and restart likewise.
    reclaim,      ///< One engine is marked as leaving and stops 20 s later.
    zone_cut,     ///< The first zone is cut off from the others for 20 s.
    burst,        ///< One customer grows to nine tenths of the demand within a minute.
    switching     ///< Two presets alternate every ten seconds.
};

/// \brief Sizes, load and fault of one run; times are in seconds.
struct scenario
{
    std::string deployment = "heredia";
    std::uint32_t zones = 4;
    std::uint32_t engines = 12;
    std::uint32_t entry_vms = 8;
    double load = 1.0;
    fault_kind fault = fault_kind::none;
    std::uint64_t seed = 1;
    double warm_up = 120.0;
    double seconds = 360.0;
    double fault_at = 180.0;
    double fault_seconds = 20.0;
    plumdale::state::preset preset;
};

/// \brief One generated request; lengths are in tokens.
struct demand
{
    std::uint32_t customer = 0;
    bool question = false;
    std::uint32_t prompt = 0;
    std::uint32_t length = 0;
};

/// \brief Draws requests: a few large customers and several small ones, each with lengths of its
/// own; three in ten are drafts of log-normal length, 2,000 tokens on average.
class demand_source
{
public:
    static constexpr std::uint32_t customers = 10;
    /// \brief Tokens per second of one engine at a load of 1.
    static constexpr double engine_tokens = 1200.0;

    explicit demand_source(scenario const& chosen)
        : random_{chosen.seed * 7919 + 17}, scenario_{chosen}
    {
        double mean = 0.0;
        for (std::uint32_t i = 0; i < customers; ++i)
        {
            mean += customer_shares[i] * length_factors[i];
        }
        for (std::uint32_t i = 0; i < customers; ++i)
        {
            length_scales_.push_back(length_factors[i] / mean);
        }
        rate_ = chosen.load * chosen.engines * engine_tokens / mean_tokens;
    }

    /// \brief Returns the time to the next request in seconds.
    [[nodiscard]] double interarrival_seconds(double now)
    {
        return std::exponential_distribution<double>{rate_ * (1.0 + burst_demand(now))}(random_);
    }

    [[nodiscard]] demand next(double now)
    {
        demand one;
        bool const of_burst = uniform() * (1.0 + burst_demand(now)) < burst_demand(now);
        one.customer = of_burst ? burst_customer : draw_customer();
        one.question = uniform() < question_share;
        std::lognormal_distribution<double> const spread{-0.5 * sigma * sigma, sigma};
        double const mean =
            one.question ? question_mean : draft_mean * length_scales_[one.customer];
        double const length = mean * std::lognormal_distribution<double>{spread}(random_);
        one.length = static_cast<std::uint32_t>(std::min(std::max(length, 2.0), max_length));
        one.prompt = static_cast<std::uint32_t>(one.question ? 150 + 300 * uniform()
                                                             : 200 + 600 * uniform());
        return one;
    }

    [[nodiscard]] std::mt19937_64& random()
    {
        return random_;
    }
    static constexpr std::uint32_t burst_customer = 3;

private:
    static constexpr double question_share = 0.7;
    static constexpr double question_mean = 65.0;
    static constexpr double draft_mean = 2000.0;
    static constexpr double sigma = 0.7;
    static constexpr double max_length = 16'000.0;
    static constexpr double mean_tokens =
        question_share * question_mean + (1.0 - question_share) * draft_mean;
    static constexpr double customer_shares[customers] = {0.28, 0.22, 0.15, 0.09, 0.07,
                                                          0.06, 0.05, 0.04, 0.02, 0.02};
    static constexpr double length_factors[customers] = {1.0, 0.5, 1.6, 0.8, 2.2,
                                                         0.4, 1.2, 0.7, 1.0, 1.5};

    [[nodiscard]] double uniform()
    {
        return std::uniform_real_distribution<double>{}(random_);
    }

    [[nodiscard]] std::uint32_t draw_customer()
    {
        double left = uniform();
        for (std::uint32_t i = 0; i + 1 < customers; ++i)
        {
            left -= customer_shares[i];
            if (left < 0.0)
            {
                return i;
            }
        }
        return customers - 1;
    }

    /// \brief Returns the burst's demand as a multiple of the ordinary demand.
    [[nodiscard]] double burst_demand(double now) const
    {
        bool const on = scenario_.fault == fault_kind::burst && now > scenario_.fault_at;
        return on ? std::min(1.0, (now - scenario_.fault_at) / 60.0) * 9.0 : 0.0;
    }

    std::mt19937_64 random_;
    scenario const& scenario_;
    std::vector<double> length_scales_;
    double rate_ = 0.0;
};

} // namespace bench
