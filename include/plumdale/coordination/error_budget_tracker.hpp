#pragma once

#include <plumdale/state/error_kind.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

/// \file
/// \brief How fast each service and customer uses up its error budgets.

namespace plumdale::coordination
{

/// \brief What callers are promised, as shares of good events.
enum class objective : std::uint8_t
{
    first_token,  ///< Time to the first token.
    token_gap,    ///< Time between two tokens.
    whole_answer, ///< Answers that began and came whole.
    admission,    ///< Requests that were not refused.
    count         ///< Number of objectives; none itself.
};

inline constexpr std::size_t objective_count = static_cast<std::size_t>(objective::count);

/// \brief Target of one objective.
struct objective_target
{
    std::string_view name;
    /// \brief Share of events that must be good, 0 to 1.
    double share = 0.0;
    /// \brief Longest time that is good; zero for objectives without one.
    state::duration limit{};
};

/// \brief Number of windows, and of slots that each one moves on by.
inline constexpr std::size_t error_budget_window_count = 4;
inline constexpr std::size_t slots_per_window = 12;

struct error_budget_settings
{
    std::array<objective_target, objective_count> targets{{
        {"first_token", 0.95, std::chrono::milliseconds{460}},
        {"token_gap", 0.95, std::chrono::milliseconds{41}},
        {"whole_answer", 0.999, state::duration{}},
        {"admission", 0.99, state::duration{}},
    }};
    std::array<state::duration, error_budget_window_count> windows{
        std::chrono::minutes{1}, std::chrono::minutes{5}, std::chrono::hours{1},
        std::chrono::hours{6}};
    /// \brief Rows kept by name; further events share one row without service and customer.
    std::size_t max_rows = 4'096;
};

/// \brief What a row counts for.
struct error_budget_key
{
    state::model_id service;
    state::customer_id customer;

    friend constexpr auto operator<=>(error_budget_key const&,
                                      error_budget_key const&) noexcept = default;
};

/// \brief How a request ended, as its caller saw it.
enum class answer_outcome : std::uint8_t
{
    whole,
    broken,
    refused,
    left ///< The caller went away, or its request was wrong: counts for nothing.
};

/// \brief Returns what an error counts for; `began` says whether an answer had begun.
[[nodiscard]] answer_outcome answer_outcome_for(state::error_kind kind, bool began) noexcept;

struct event_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

/// \brief Returns the share of bad events over the share that the goal allows: at 1 the budget
/// lasts just as long as the window. Zero without events.
[[nodiscard]] double burn_rate(event_counts count, double share) noexcept;

/// \brief One objective in one window; `slots` run from the oldest to the newest.
struct error_budget_window
{
    event_counts total;
    std::array<event_counts, slots_per_window> slots{};
};

/// \brief Quantiles in milliseconds over the process's whole life; `samples` weighs them.
struct latency_quantiles
{
    /// \brief Samples that the estimate needs before it says anything.
    static constexpr std::uint64_t min_samples = 9;

    std::uint64_t samples = 0;
    double p50 = 0.0;
    double p95 = 0.0;
    double p99 = 0.0;

    [[nodiscard]] constexpr bool has_estimate() const noexcept
    {
        return samples >= min_samples;
    }
};

struct error_budget_row
{
    error_budget_key key;
    std::array<std::array<error_budget_window, error_budget_window_count>, objective_count>
        objectives{};
    latency_quantiles first_token;
    latency_quantiles token_gap;
};

/// \brief Rows in the order of their keys.
using error_budget_report = std::vector<error_budget_row>;

/// \brief Joins the reports of several threads taken at the same time; counts are added, quantiles
/// averaged by their samples.
[[nodiscard]] error_budget_report merge(std::span<error_budget_report const> reports);

/// \brief Counts good and bad events over several windows. One for each thread.
///
/// Memory is about 4 KB a row and bounded by `error_budget_settings::max_rows`. Example:
/// \code
/// error_budget_tracker book{error_budget_settings{}};
/// book.record_first_token({model, customer}, waited, now);
/// book.record_outcome({model, customer}, answer_outcome::whole, now);
/// \endcode
class error_budget_tracker
{
public:
    explicit error_budget_tracker(error_budget_settings const& settings);
    error_budget_tracker(error_budget_tracker const&) = delete;
    error_budget_tracker& operator=(error_budget_tracker const&) = delete;
    ~error_budget_tracker();

    void record_first_token(error_budget_key key, state::duration waited, state::time_point now);
    void record_token_gap(error_budget_key key, state::duration gap, state::time_point now);
    void record_outcome(error_budget_key key, answer_outcome end, state::time_point now);

    [[nodiscard]] error_budget_report report(state::time_point now) const;
    [[nodiscard]] error_budget_settings const& settings() const noexcept;

private:
    class row;
    struct rows;
    row& row_for(error_budget_key key);

    error_budget_settings settings_;
    std::unique_ptr<rows> rows_;
};

} // namespace plumdale::coordination
