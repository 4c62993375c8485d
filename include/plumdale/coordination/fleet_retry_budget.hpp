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
/// most `ratio` of the calls plus `slack`. The calls are those of that window, of the one before
/// it, or of the one that begins half a window before it.
struct fleet_retry_limit
{
    double ratio = 0.0;
    double slack = 0.0;
    state::duration window = std::chrono::seconds{10};

    [[nodiscard]] bool operator==(fleet_retry_limit const&) const = default;
};

/// \brief What a VM has counted of one service in the current window.
struct retry_counts
{
    std::uint32_t calls = 0;
    std::uint32_t retries = 0;
};

/// \brief Which retries of a service go first.
enum class retry_priority : std::uint8_t
{
    /// Second tries beside generations that may have to be resumed: their callers may retry.
    yielding,
    /// Resumptions, whose callers would lose all that was generated, and all retries of a service
    /// that has none.
    preferred,
    /// Resumptions of generations whose run is over: nothing else is spent while one waits.
    owed
};

/// \brief Keeps retries of one service within the fleet's limit without messages between VMs.
///
/// Each own call earns `ratio`, and the slack is divided equally between the VMs that share it. So
/// the sum over all VMs, and over their incarnations, keeps the limit. Example:
/// \code
/// fleet_retry_budget budget{{0.2, 58, 10s}};
/// budget.note_call(now);
/// if (budget.take(now, sharers)) { /* send once more */ }
/// \endcode
class fleet_retry_budget
{
public:
    /// \brief `rounding`, from 0 to 1, is added to what this VM may spend; a value that is uniform
    /// over the VMs of a fleet keeps the parts of one retry that each has left from being lost.
    explicit fleet_retry_budget(fleet_retry_limit limit, double rounding = 0.0) noexcept;

    void note_call(state::time_point now) noexcept;
    /// \brief Spends one retry if one is left; `sharers` is how many VMs share the slack, 0 if this
    /// one has no part of it.
    [[nodiscard]] bool take(state::time_point now, std::size_t sharers,
                            retry_priority priority = retry_priority::preferred) noexcept;
    /// \brief Reserves one retry if one is left. Until it is spent or released it counts in each
    /// window, as it may arrive in any.
    [[nodiscard]] bool reserve(state::time_point now, std::size_t sharers,
                               retry_priority priority = retry_priority::preferred) noexcept;
    /// \brief A reserved retry is sent now.
    void spend(state::time_point now) noexcept;
    /// \brief A reserved retry is not needed.
    void release() noexcept;
    /// \brief Returns what was counted in the window that ends now.
    [[nodiscard]] retry_counts counts(state::time_point now) noexcept;

    /// \brief Fraction of the limit that is used. The rest covers arrivals that are delayed on
    /// their way, and VMs that count each other differently.
    static constexpr double used_fraction = 0.7;
    /// \brief Fraction of what a VM may spend that yielding retries leave to preferred ones.
    static constexpr double preferred_reserve = 0.5;
    /// \brief How long an owed retry that was not left counts as waiting; it is asked for again
    /// sooner.
    static constexpr state::duration owed_wait = std::chrono::milliseconds{250};

private:
    /// \brief Parts of a window that are counted separately.
    static constexpr std::int64_t parts = 40;
    /// \brief Parts that are kept: a window, half of one before it, and the current part.
    static constexpr std::int64_t kept_parts = parts + parts / 2 + 1;

    using part_counts = std::array<std::uint32_t, kept_parts>;

    void advance_to(state::time_point now) noexcept;
    /// \brief Returns the sum of the kept parts from `first` to `last`.
    [[nodiscard]] std::uint32_t sum(part_counts const& counted, std::int64_t first,
                                    std::int64_t last) const noexcept;
    /// \brief Returns the calls that pay for the retries of a window which begins in `part`.
    [[nodiscard]] std::uint32_t paying_calls(std::int64_t part) const noexcept;

    fleet_retry_limit limit_;
    double rounding_;
    part_counts calls_{};
    part_counts retries_{};
    std::int64_t newest_part_ = 0;
    std::uint32_t reserved_ = 0;
    state::time_point owed_until_{};
};

} // namespace plumdale::coordination
