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
[[nodiscard]] state::time_point gone_at(departure const& leaving) noexcept;

/// \brief Returns how long one copy of `tokens` takes on an idle link.
[[nodiscard]] state::duration copy_time(state::engine_limits const& engine, std::uint64_t tokens,
                                        bool to_other_zone) noexcept;

/// \brief Returns when last copies may begin.
///
/// All entry VMs order first copies at once, and a link carries them one after another. The last
/// copy stops its generation; queued behind first copies it would be stopped for most of a second.
/// So last copies wait until the first copies of all entry VMs are through, as worked out from
/// what the fleet has there, but no longer than leaves them time before the upstream is gone.
/// `fleet_tokens` and `fleet_calls`: what all entry VMs have there.
[[nodiscard]] state::time_point last_copies_from(departure const& leaving,
                                                 state::engine_limits const& engine,
                                                 std::uint64_t fleet_tokens,
                                                 std::uint32_t fleet_calls) noexcept;

/// \brief Shortest notice given: upstreams were gone 1.5 to 2.1 s after it.
inline constexpr state::duration shortest_notice = std::chrono::milliseconds{1'500};
/// \brief How late a notice may be heard: pacing of the watch, the answer, a datagram.
inline constexpr state::duration notice_delay = std::chrono::milliseconds{180};
/// \brief Kept free before the departure: for ordering last copies, a refusal, and a second try.
inline constexpr state::duration departure_margin = std::chrono::milliseconds{280};
/// \brief Time of one last copy and its resumption on an idle link, measured 7 ms and 13 to 58 ms;
/// the link is held only by the first.
inline constexpr state::duration last_copy_time = std::chrono::milliseconds{10};

} // namespace plumdale::coordination
