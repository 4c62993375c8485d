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

/// \brief Returns when the upstream is gone, as far as it is known.
[[nodiscard]] state::time_point departure_time(departure const& leaving) noexcept;

/// \brief Returns how long one copy of `tokens` takes on an idle link.
[[nodiscard]] state::duration copy_duration(state::engine_limits const& engine,
                                            std::uint64_t tokens, bool to_other_zone) noexcept;

/// \brief When further copies of a generation are ordered, once the first is there.
struct copy_schedule
{
    /// \brief A copy that brings the first one up to date while the generation runs on.
    state::time_point refresh_at = state::never;
    /// \brief The last copy, which stops the generation.
    state::time_point last_at = state::never;
};

/// \brief Returns when copies follow the first one.
///
/// Where the moment of departure is known, the generation runs on until its upstream is gone and
/// goes on from its refreshed copy: nothing stands still but for what was generated since, some 15
/// tokens, which are read again. A last copy is ordered only of an upstream that is still there
/// when it should be gone.
///
/// Where it isn't known, or is farther off than copies can be kept, the last copy waits until the
/// first copies of all entry VMs are through, as worked out from what the fleet has there, but no
/// longer than leaves it time: it stops its generation, and a link carries copies one after
/// another. `fleet_tokens` and `fleet_calls`: what all entry VMs have there.
[[nodiscard]] copy_schedule schedule_copies(departure const& leaving,
                                            state::engine_limits const& engine,
                                            std::uint64_t fleet_tokens,
                                            std::uint32_t fleet_calls) noexcept;

/// \brief Shortest notice that is counted on.
inline constexpr state::duration min_notice = std::chrono::milliseconds{1'500};
/// \brief How late a notice may be heard: pacing of the watch, the answer, a datagram.
inline constexpr state::duration max_notice_delay = std::chrono::milliseconds{180};
/// \brief Kept free before the departure: for ordering last copies, a refusal, and a second try.
inline constexpr state::duration departure_margin = std::chrono::milliseconds{280};
/// \brief Time for which one last copy holds an idle link.
inline constexpr state::duration last_copy_duration = std::chrono::milliseconds{10};
/// \brief How long before the departure copies are refreshed: the moment is known to 60 ms, and
/// refreshing ten generations takes the link for 100 ms.
inline constexpr state::duration refresh_lead = std::chrono::milliseconds{200};
/// \brief An upstream that is still there this long after it should be gone is not believed to
/// leave by itself soon.
inline constexpr state::duration overdue_after = std::chrono::milliseconds{400};
/// \brief Time from the notice until the upstream's report has told when it leaves.
inline constexpr state::duration departure_report_delay = std::chrono::milliseconds{700};

} // namespace plumdale::coordination
