#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// \brief This entry VM's share of the fleet's allowance of repeated sends.

namespace plumdale::coordination
{

/// \brief The fleet's allowance: over any window, sends beyond the first of each call may be at
/// most `ratio` of the calls plus `slack`.
struct fleet_retry_limit
{
    double ratio = 0.0;
    double slack = 0.0;
    state::duration window = std::chrono::seconds{10};
};

/// \brief Keeps repeats of one service within the allowance without asking anyone.
///
/// Own calls earn `ratio` each over a sliding window. Of the slack, each entry VM takes an equal
/// share of the members that it knows; while it knows fewer than it may have, of the most it has
/// known. Example:
/// \code
/// fleet_retry_budget allowance{{0.2, 58, 10s}};
/// allowance.note_call(now);
/// if (allowance.take(now, members)) { /* send once more */ }
/// \endcode
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(fleet_retry_limit limit) noexcept;

    void note_call(state::time_point now) noexcept;
    /// \brief Spends one repeat if one is left; `members` is how many entry VMs share the slack.
    [[nodiscard]] bool take(state::time_point now, std::size_t members) noexcept;

    /// \brief Part of the terms that is used. Windows slide and datagrams get lost, so a part is
    /// left for what peers count otherwise.
    static constexpr double used_fraction = 0.7;

private:
    /// \brief Parts of a window that are counted on their own.
    static constexpr std::size_t slot_count = 10;

    void advance_to(state::time_point now) noexcept;

    fleet_retry_limit limit_;
    std::array<std::uint32_t, slot_count> calls_{};
    std::array<std::uint32_t, slot_count> retries_{};
    std::int64_t newest_slot_ = 0;
};

} // namespace plumdale::coordination
