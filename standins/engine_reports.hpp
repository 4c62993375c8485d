#pragma once

#include "engine_model.hpp"
#include "prefix_cache.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

/// \file
/// \brief An engine's reports: load with a lag, cache events with a delay and gaps.

namespace plumdale::standins
{

struct report_settings
{
    std::chrono::milliseconds load_lag{0};
    std::chrono::milliseconds cache_lag{500};
    std::uint32_t cache_gap_percent = 5;
    std::uint32_t block_tokens = 16;
    std::uint64_t seed = 1;
};

class engine_reports
{
public:
    using clock = std::chrono::steady_clock;

    engine_reports(report_settings settings, std::uint64_t incarnation_number);

    void add_load(engine_load const& load, clock::time_point now);
    void add_cache_events(std::vector<cache_event> const& events, clock::time_point now);

    /// \brief Returns the answer to `GET /v1/load`.
    [[nodiscard]] std::string load_text(clock::time_point now) const;
    /// \brief Returns the answer to `GET /v1/cache/events`.
    [[nodiscard]] std::string cache_text(std::uint64_t after, clock::time_point now) const;

private:
    struct load_sample
    {
        clock::time_point taken_at;
        std::uint64_t sequence = 0;
        engine_load load;
    };
    struct delayed_event
    {
        clock::time_point visible_at;
        std::uint64_t sequence = 0;
        cache_event event;
    };

    report_settings settings_;
    std::uint64_t incarnation_number_;
    std::deque<load_sample> loads_;
    std::deque<delayed_event> events_;
    std::mt19937_64 random_;
    std::uint64_t load_sequence_ = 0;
    std::uint64_t cache_sequence_ = 0;
};

} // namespace plumdale::standins
