#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

/// \file
/// \brief Measurements of a run of the policy bench.

namespace bench
{

/// \brief Counts durations in ranges that grow by 2%, from 0.1 ms to some minutes.
class histogram
{
public:
    void add(double seconds)
    {
        double const position =
            std::log(std::max(seconds, lowest_seconds) / lowest_seconds) / std::log(range_growth);
        auto const at = std::min(static_cast<std::size_t>(position), counts_.size() - 1);
        ++counts_[at];
        ++total_;
    }

    /// \brief Returns the quantile in seconds: the value below which `share` of the durations lie.
    [[nodiscard]] double quantile(double share) const
    {
        auto left = static_cast<double>(total_) * share;
        for (std::size_t i = 0; i < counts_.size(); ++i)
        {
            left -= static_cast<double>(counts_[i]);
            if (left <= 0.0 && total_ > 0)
            {
                return lowest_seconds * std::pow(range_growth, static_cast<double>(i) + 0.5);
            }
        }
        return 0.0;
    }

private:
    static constexpr double lowest_seconds = 1e-4;
    static constexpr double range_growth = 1.02;
    std::array<std::uint64_t, 800> counts_{};
    std::uint64_t total_ = 0;
};

/// \brief Figures of one kind of request.
struct kind_measures
{
    std::uint64_t asked = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t interrupted = 0;
    std::uint64_t tokens = 0; ///< Of complete answers.
    double stall_seconds = 0.0;
    histogram gaps;
    histogram first_token;
};

/// \brief Figures of one customer.
struct customer_measures
{
    double asked_tokens = 0.0;
    double refused_tokens = 0.0;
};

/// \brief Returns the smallest share of its demand that a modest customer received. A customer is
/// modest when it asks for less than its max-min fair share of all tokens that were served.
[[nodiscard]] inline double worst_modest_share(std::vector<customer_measures> customers)
{
    std::sort(customers.begin(), customers.end(),
              [](customer_measures const& a, customer_measures const& b)
              { return a.asked_tokens < b.asked_tokens; });
    double left = 0.0;
    for (customer_measures const& each : customers)
    {
        left += each.asked_tokens - each.refused_tokens;
    }
    double worst = 1.0;
    auto others = static_cast<double>(customers.size());
    for (customer_measures const& each : customers)
    {
        if (each.asked_tokens > left / others)
        {
            break;
        }
        left -= each.asked_tokens;
        others -= 1.0;
        if (each.asked_tokens > 0.0)
        {
            worst = std::min(worst, 1.0 - each.refused_tokens / each.asked_tokens);
        }
    }
    return worst;
}

/// \brief Figures of one run, counted after its warm-up.
struct measures
{
    kind_measures question;
    kind_measures draft;
    std::vector<customer_measures> customers;
    std::uint64_t false_refusals = 0;
    std::uint64_t retries = 0;
    double seconds = 0.0;
    /// \brief Preemptions and answers in each slice of five seconds from the start.
    std::vector<std::uint64_t> preemptions;
    std::vector<std::uint64_t> answers;

    /// \brief Returns the preemptions for each 1,000 answers between two times in seconds.
    [[nodiscard]] double preemption_rate(double from, double to) const
    {
        std::uint64_t preempted = 0;
        std::uint64_t answered = 0;
        auto const first = static_cast<std::size_t>(from / slice_seconds);
        auto const last = std::min(static_cast<std::size_t>(to / slice_seconds), answers.size());
        for (std::size_t i = first; i < last; ++i)
        {
            preempted += preemptions[i];
            answered += answers[i];
        }
        return answered == 0
                   ? 0.0
                   : 1000.0 * static_cast<double>(preempted) / static_cast<double>(answered);
    }

    static constexpr double slice_seconds = 5.0;
};

} // namespace bench
