#include "engine_reports.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdio>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::size_t max_load_samples = 100;
constexpr std::size_t max_cache_events = 10'000;

std::string hex(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

} // namespace

engine_reports::engine_reports(report_settings settings, std::uint64_t incarnation_number)
    : settings_{settings}, incarnation_number_{incarnation_number}, random_{settings.seed}
{
}

void engine_reports::add_load(engine_load const& load, clock::time_point now)
{
    loads_.push_back({now, ++load_sequence_, load});
    if (loads_.size() > max_load_samples)
    {
        loads_.pop_front();
    }
}

void engine_reports::add_cache_events(std::vector<cache_event> const& events, clock::time_point now)
{
    std::uniform_int_distribution<std::uint32_t> percent{0, 99};
    for (cache_event const& event : events)
    {
        ++cache_sequence_;
        if (percent(random_) >= settings_.cache_gap_percent)
        {
            events_.push_back({now + settings_.cache_lag, cache_sequence_, event});
        }
    }
    while (events_.size() > max_cache_events)
    {
        events_.pop_front();
    }
}

std::string engine_reports::load_text(clock::time_point now) const
{
    load_sample const* visible = &loads_.front();
    for (load_sample const& sample : loads_)
    {
        if (now - sample.taken_at >= settings_.load_lag)
        {
            visible = &sample;
        }
    }
    engine_load const& load = visible->load;
    return json::serialize(json::object{{"sequence", visible->sequence},
                                        {"age_ms", (now - visible->taken_at) / 1ms},
                                        {"uptime", incarnation_number_},
                                        {"blocks_total", load.blocks_total},
                                        {"blocks_used", load.blocks_used},
                                        {"block_tokens", settings_.block_tokens},
                                        {"running", load.running},
                                        {"waiting", load.waiting},
                                        {"preemptions", load.preemptions}});
}

std::string engine_reports::cache_text(std::uint64_t after, clock::time_point now) const
{
    std::uint64_t next = after;
    json::array events;
    for (delayed_event const& delayed : events_)
    {
        if (delayed.sequence > after && delayed.visible_at <= now)
        {
            next = delayed.sequence;
            events.push_back(json::object{{"sequence", delayed.sequence},
                                          {"kind", delayed.event.stored ? "stored" : "evicted"},
                                          {"prefix", hex(delayed.event.prefix)}});
        }
    }
    return json::serialize(json::object{{"events", std::move(events)}, {"next", next}});
}

} // namespace plumdale::standins
