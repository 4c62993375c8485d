#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief How the calls of each route ended, against the route's objectives.

namespace plumdale::coordination
{

/// \brief How a call ended for its caller.
enum class call_outcome : std::uint8_t
{
    on_time,
    late,                ///< Whole, but after the objective, or with too long a pause.
    refused,             ///< Stated as not run.
    failed,              ///< Failed at the upstream, broken off, or it may have run.
    caller_disconnected, ///< The caller left; not counted against the objective.
    count                ///< Number of outcomes; no outcome itself.
};

/// \brief Names of the outcomes on operators' pages, in the order of `call_outcome`.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(call_outcome::count)>
    outcome_names{"on_time", "late", "refused", "failed", "left"};

/// \brief Calls of one route by outcome.
using outcome_counts = std::array<std::uint64_t, static_cast<std::size_t>(call_outcome::count)>;

/// \brief Counts outcomes by route for the service-level burn report.
///
/// Example: `route_outcomes outcomes; outcomes.note("lists", call_outcome::late);`
class route_outcomes
{
public:
    void note(std::string_view route, call_outcome outcome);
    [[nodiscard]] std::map<std::string, outcome_counts, std::less<>> const& rows() const noexcept
    {
        return rows_;
    }

    /// \brief Maximum number of routes; a configuration has some hundred. All counts are dropped
    /// when the names, including those of removed routes, are more.
    static constexpr std::size_t max_routes = 2'000;

private:
    std::map<std::string, outcome_counts, std::less<>> rows_;
};

/// \brief Returns the calls that count against an objective: all except those of callers that left.
[[nodiscard]] std::uint64_t counted_calls(outcome_counts const& counts) noexcept;

/// \brief Returns the multiple of its error budget that a route has used: 1 when exactly the share
/// `objective` of its calls was on time; 0 without calls.
[[nodiscard]] double error_budget_used(outcome_counts const& counts, double objective) noexcept;

} // namespace plumdale::coordination
