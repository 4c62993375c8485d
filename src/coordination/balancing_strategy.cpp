#include <plumdale/coordination/balancing_strategy.hpp>

#include <algorithm>

namespace plumdale::coordination
{

double reported_utilization(upstream_gauge const& gauge) noexcept
{
    double const total = gauge.blocks_total.load(std::memory_order_relaxed);
    double const used = gauge.blocks_used.load(std::memory_order_relaxed);
    return total > 0.0 ? used / total : 0.0;
}

upstream_view const* round_robin::choose(std::span<upstream_view const* const> candidates)
{
    return candidates[next_++ % candidates.size()];
}

upstream_view const* least_connections::choose(std::span<upstream_view const* const> candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(),
                             [](upstream_view const* a, upstream_view const* b)
                             { return a->gauge->in_flight.load() < b->gauge->in_flight.load(); });
}

upstream_view const* least_reported_load::choose(std::span<upstream_view const* const> candidates)
{
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [](upstream_view const* a, upstream_view const* b)
        { return reported_utilization(*a->gauge) < reported_utilization(*b->gauge); });
}

two_choices::two_choices(std::uint64_t seed)
    : random_{static_cast<std::minstd_rand::result_type>(seed % 0x7ffffffeU + 1)}
{
}

upstream_view const* two_choices::choose(std::span<upstream_view const* const> candidates)
{
    upstream_view const* const a = candidates[random_() % candidates.size()];
    upstream_view const* const b = candidates[random_() % candidates.size()];
    return reported_utilization(*a->gauge) <= reported_utilization(*b->gauge) ? a : b;
}

} // namespace plumdale::coordination
