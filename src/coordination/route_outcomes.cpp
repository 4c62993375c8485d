#include <plumdale/coordination/route_outcomes.hpp>

namespace plumdale::coordination
{
namespace
{

std::uint64_t count_of(outcome_counts const& counts, call_outcome outcome) noexcept
{
    return counts[static_cast<std::size_t>(outcome)];
}

} // namespace

void route_outcomes::note(std::string_view route, call_outcome outcome)
{
    auto found = rows_.find(route);
    if (found == rows_.end())
    {
        // New configurations keep replacing routes, so the number of rows must be bounded.
        if (rows_.size() >= max_routes)
        {
            rows_.clear();
        }
        found = rows_.emplace(std::string{route}, outcome_counts{}).first;
    }
    ++found->second[static_cast<std::size_t>(outcome)];
}

std::uint64_t counted_calls(outcome_counts const& counts) noexcept
{
    return count_of(counts, call_outcome::on_time) + count_of(counts, call_outcome::late) +
           count_of(counts, call_outcome::refused) + count_of(counts, call_outcome::failed);
}

double error_budget_used(outcome_counts const& counts, double objective) noexcept
{
    std::uint64_t const all = counted_calls(counts);
    double const allowed = 1.0 - objective;
    if (all == 0 || allowed <= 0.0)
    {
        return 0.0;
    }
    auto const missed = static_cast<double>(all - count_of(counts, call_outcome::on_time));
    return missed / static_cast<double>(all) / allowed;
}

} // namespace plumdale::coordination
