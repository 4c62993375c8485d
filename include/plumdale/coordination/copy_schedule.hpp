#pragma once

#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>

/// \file
/// \brief When the memory of generations is copied off an upstream that leaves.

namespace plumdale::coordination
{

/// \brief An upstream's departure as it is known here.
struct departure
{
    state::time_point learnt_at{};
    /// \brief When it will be gone; none while it is not known.
    std::optional<state::time_point> leaves_at;
};

/// \brief Returns when the upstream will be gone; the earliest possible time if it is not known.
[[nodiscard]] state::time_point departure_time(departure const& leaving) noexcept;

/// \brief Returns when the upstream will be gone; the latest possible time if it is not known.
[[nodiscard]] state::time_point latest_departure_time(departure const& leaving) noexcept;

/// \brief Returns how long one copy of `tokens` takes on an idle link.
[[nodiscard]] state::duration copy_duration(state::engine_limits const& engine,
                                            std::uint64_t tokens, bool to_other_zone) noexcept;

/// \brief When the first copy of a generation may be ordered.
struct first_copy_times
{
    state::time_point from{};
    /// \brief A copy ordered later would not be complete before its upstream is gone.
    state::time_point until{};
};

/// \brief When copies of a generation are ordered.
struct copy_schedule
{
    /// \brief A copy that brings the first one up to date while the generation runs on.
    state::time_point refresh_at = state::never;
    /// \brief The last copy, which stops the generation.
    state::time_point last_at = state::never;
    /// \brief Turn of the first copy and until when it waits for a destination where it fits; none
    /// if it is ordered at once or not at all.
    std::optional<first_copy_times> first = std::nullopt;
};

/// \brief Returns when copies follow the first one.
///
/// If the departure time is known, the generation runs until its upstream is gone and continues
/// from its refreshed copy: the only delay is that the tokens generated since, some 15, are read
/// again. A last copy is ordered only if the upstream is still present after that time.
///
/// If it is unknown, or later than copies can be kept, the last copy is delayed until the first
/// copies of all entry VMs are estimated to be complete, but not so long that it misses the
/// departure: a last copy stops its generation, and a link carries copies one after another.
/// `fleet_tokens` and `fleet_calls` are the totals of all entry VMs on this upstream.
[[nodiscard]] copy_schedule schedule_copies(departure const& leaving,
                                            state::engine_limits const& engine,
                                            std::uint64_t fleet_tokens,
                                            std::uint32_t fleet_calls) noexcept;

/// \brief Shortest notice that an upstream is assumed to give.
inline constexpr state::duration min_notice = std::chrono::milliseconds{1'500};
/// \brief Longest notice that an upstream without a report is assumed to give.
inline constexpr state::duration max_notice = std::chrono::milliseconds{2'000};
/// \brief Longest delay until a notice is received: pacing of the watch, its answer, a datagram.
inline constexpr state::duration max_notice_delay = std::chrono::milliseconds{180};
/// \brief Reserved before the departure for ordering last copies, a refusal and a retry.
inline constexpr state::duration departure_margin = std::chrono::milliseconds{280};
/// \brief Time for which one last copy occupies an idle link.
inline constexpr state::duration last_copy_duration = std::chrono::milliseconds{10};
/// \brief How long before the departure copies are refreshed: the departure time is accurate to
/// 60 ms, and refreshing ten generations occupies the link for 100 ms.
inline constexpr state::duration refresh_lead = std::chrono::milliseconds{200};
/// \brief An upstream that is still present this long after its departure time is not expected to
/// leave by itself soon.
inline constexpr state::duration overdue_after = std::chrono::milliseconds{400};
/// \brief Time from the notice until the upstream's report with its departure time has arrived.
inline constexpr state::duration departure_report_delay = std::chrono::milliseconds{700};

} // namespace plumdale::coordination
