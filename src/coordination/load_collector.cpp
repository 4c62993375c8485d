#include <plumdale/coordination/load_collector.hpp>
#include <plumdale/coordination/member_selection.hpp>

#include <algorithm>
#include <limits>

namespace plumdale::coordination
{
namespace
{

constexpr state::duration age_unit = std::chrono::milliseconds{10};
constexpr std::uint32_t blocks_unit = 16;
constexpr std::uint32_t full_share = 255;
// Reports older than this are not shared: the node no longer gets reports of the engine.
constexpr state::duration max_shared_age = std::chrono::seconds{10};

template <class To, class From>
[[nodiscard]] To clamped(From value) noexcept
{
    return static_cast<To>(std::clamp<From>(value, 0, std::numeric_limits<To>::max()));
}

} // namespace

load_summary summarize(state::load_report const& report) noexcept
{
    load_summary result;
    result.upstream = report.upstream;
    result.sequence = report.sequence;
    result.age = clamped<std::uint16_t>(report.age / age_unit);
    result.blocks_total = clamped<std::uint16_t>(report.blocks_total / blocks_unit);
    if (report.blocks_total != 0)
    {
        std::uint64_t const used = std::uint64_t{report.blocks_used} * full_share;
        result.used_share =
            clamped<std::uint8_t>((used + report.blocks_total - 1) / report.blocks_total);
    }
    result.running = clamped<std::uint8_t>(report.running);
    result.waiting = clamped<std::uint8_t>(report.waiting);
    return result;
}

state::load_report expand(load_summary const& summary) noexcept
{
    state::load_report result;
    result.upstream = summary.upstream;
    result.sequence = summary.sequence;
    result.age = summary.age * age_unit;
    result.blocks_total = summary.blocks_total * blocks_unit;
    result.blocks_used = result.blocks_total * summary.used_share / full_share;
    result.running = summary.running;
    result.waiting = summary.waiting;
    return result;
}

void store_report(upstream_gauge& gauge, state::load_report const& report, state::time_point now)
{
    if (report.sequence < gauge.report_sequence.load())
    {
        return;
    }
    gauge.reported_at.store((now - report.age).time_since_epoch().count());
    gauge.blocks_total.store(report.blocks_total);
    gauge.blocks_used.store(report.blocks_used);
    gauge.block_tokens.store(report.block_tokens);
    gauge.running.store(report.running);
    gauge.waiting.store(report.waiting);
    gauge.preemptions.store(report.preemptions);
    gauge.dispatched_at_report.store(gauge.dispatched.load());
    gauge.report_sequence.store(report.sequence);
}

void load_collector::advance(fleet_snapshot const& fleet, state::time_point now,
                             control_actions& actions)
{
    if (now < next_)
    {
        return;
    }
    auto const is_engine = [](upstream_view const& view)
    {
        return view.info.kind == state::upstream_kind::engine;
    };
    auto const engines = std::count_if(fleet.upstreams.begin(), fleet.upstreams.end(), is_engine);
    is_sharing_ = static_cast<std::size_t>(engines) > settings_.read_all_engines;
    next_ = now + (is_sharing_ ? settings_.subset_load_interval : settings_.load_interval);
    for (upstream_view const& view : fleet.upstreams)
    {
        state::upstream const& info = view.info;
        bool const is_reader = !is_sharing_ || (info.zone == self_.zone &&
                                                is_responsible(members_, self_, info.id.value,
                                                               settings_.readers_per_engine, true));
        if (is_engine(view) && is_reader)
        {
            actions.emplace_back(read_load{info.id, info.address});
        }
    }
}

void load_collector::add_report(state::load_report const& report, state::time_point now)
{
    if (!is_sharing_)
    {
        return;
    }
    std::erase_if(reports_,
                  [&](shared_report const& each) {
                      return each.report.upstream == report.upstream ||
                             now - each.received_at > max_shared_age;
                  });
    reports_.push_back({report, now});
}

void load_collector::piggyback(peer_message& message, state::time_point now)
{
    std::size_t const count = std::min(reports_.size(), peer_message::max_loads);
    for (std::size_t i = 0; i < count; ++i)
    {
        shared_report const& each = reports_[next_index_++ % reports_.size()];
        state::load_report aged = each.report;
        aged.age += now - each.received_at;
        message.loads.push_back(summarize(aged));
    }
}

} // namespace plumdale::coordination
