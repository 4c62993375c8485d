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

/// \brief Service-level objectives; the target of each is a share of good events.
enum class objective : std::uint8_t
{
    first_token,  ///< Time to the first token.
    token_gap,    ///< Time between two tokens.
    whole_answer, ///< Answers that began and were delivered completely.
    admission,    ///< Requests that were not refused.
    count         ///< Number of objectives; not an objective.
};

inline constexpr std::size_t objective_count = static_cast<std::size_t>(objective::count);

/// \brief Target of one objective.
struct objective_target
{
    std::string_view name;
    /// \brief Share of events that must be good, 0 to 1.
    double share = 0.0;
    /// \brief Longest time that counts as good; zero for objectives without a time limit.
    state::duration limit{};
};

/// \brief Number of windows, and of slots that each window is divided into.
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
    /// \brief Rows that have a key; events of further keys share one row with an empty key.
    std::size_t max_rows = 4'096;
};

/// \brief Service and customer whose events a row counts.
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
    left ///< The caller disconnected or its request was invalid; not counted.
};

/// \brief Returns the outcome that an error counts as; `began` states whether an answer had begun.
[[nodiscard]] answer_outcome answer_outcome_for(state::error_kind kind, bool began) noexcept;

struct event_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

/// \brief Returns the share of bad events divided by the share that the target allows: at 1 the
/// budget lasts exactly as long as the window. Zero without events.
[[nodiscard]] double burn_rate(event_counts count, double share) noexcept;

/// \brief One objective in one window; `slots` run from the oldest to the newest.
struct error_budget_window
{
    event_counts total;
    std::array<event_counts, slots_per_window> slots{};
};

/// \brief Quantiles in milliseconds since the process started; `samples` is the weight in a merge.
struct latency_quantiles
{
    /// \brief Samples that the estimator needs before its quantiles are valid.
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

/// \brief Merges the reports of several threads taken at the same time; counts are added, quantiles
/// averaged with their samples as weights.
[[nodiscard]] error_budget_report merge(std::span<error_budget_report const> reports);

/// \brief Counts good and bad events over several windows. Each thread has its own instance.
///
/// Memory is about 4 KB a row and bounded by `error_budget_settings::max_rows`. Example:
/// \code
/// error_budget_tracker tracker{error_budget_settings{}};
/// tracker.record_first_token({model, customer}, waited, now);
/// tracker.record_outcome({model, customer}, answer_outcome::whole, now);
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
    void record_outcome(error_budget_key key, answer_outcome outcome, state::time_point now);

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
