#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// \brief This entry VM's share of the fleet's retry limit.

namespace plumdale::coordination
{

/// \brief The fleet's limit: over any window, retries (sends beyond the first of each call) are at
/// most `ratio` of the calls plus `slack`.
struct fleet_retry_limit
{
    double ratio = 0.0;
    double slack = 0.0;
    state::duration window = std::chrono::seconds{10};
};

/// \brief What a VM has counted of one service in the current window.
struct retry_counts
{
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
};

/// \brief Keeps retries of one service within the fleet's limit without messages between VMs.
///
/// Each own call earns `ratio` over a sliding window. The slack is divided equally between the
/// entry VMs that this one knows; while its view may be incomplete, callers pass the most it has
/// known. Example:
/// \code
/// fleet_retry_budget budget{{0.2, 58, 10s}};
/// budget.note_call(now);
/// if (budget.take(now, members)) { /* send once more */ }
/// \endcode
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(fleet_retry_limit limit) noexcept;

    void note_call(state::time_point now) noexcept;
    /// \brief Spends one retry if one is left; `members` is how many entry VMs share the slack.
    [[nodiscard]] bool take(state::time_point now, std::size_t members) noexcept;

    /// \brief Returns what was counted in the window that ends now.
    [[nodiscard]] retry_counts counts(state::time_point now) noexcept;

    /// \brief Fraction of the limit that is used. The rest covers differences between the VMs'
    /// counts, as windows slide and datagrams get lost.
    static constexpr double used_fraction = 0.7;

private:
    /// \brief Parts of a window that are counted separately.
    static constexpr std::size_t slot_count = 10;

    void advance_to(state::time_point now) noexcept;

    fleet_retry_limit limit_;
    std::array<std::uint32_t, slot_count> calls_{};
    std::array<std::uint32_t, slot_count> retries_{};
    std::int64_t newest_slot_ = 0;
};

} // namespace plumdale::coordination
