#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief How fast each upstream is, learnt from calls and shared between entry VMs.

namespace plumdale::coordination
{

/// \brief What one entry VM observed at an upstream, as peers receive it.
///
/// Ratios are means of the natural logarithm of the time that was taken over the time that was
/// expected, in thousandths; weights are numbers of observations, aged, in tenths.
struct speed_row
{
    state::member_key member;
    std::int16_t prefill = 0;
    std::uint16_t prefill_weight = 0;
    std::int16_t pace = 0;
    std::uint16_t pace_weight = 0;

    friend constexpr bool operator==(speed_row const&, speed_row const&) noexcept = default;
};

/// \brief How long an upstream takes, as multiples of the nominal times.
struct speed_factors
{
    /// \brief Time to read a prompt.
    double prefill = 1.0;
    /// \brief Time for each generated token.
    double pace = 1.0;
    /// \brief Both are known from enough observations; otherwise they are the service's middle.
    bool is_known = false;
};

/// \brief Learns the speed of each incarnation of an upstream; one VM sees few calls, so the
/// estimate is made of the observations of all.
///
/// Example:
/// \code
/// upstream_speeds speeds;
/// speeds.note_first_event(member, 1.6, now);  // took 1.6 times as long as expected
/// speeds.factors(member, now).prefill;
/// \endcode
class upstream_speeds
{
public:
    /// \brief Records the time to a first event as a multiple of the nominal time.
    void note_first_event(state::member_key member, double ratio, state::time_point now);
    /// \brief Records the time for some tokens as a multiple of the nominal time.
    void note_pace(state::member_key member, double ratio, state::time_point now);
    /// \brief Returns the estimate for an upstream of `service`.
    [[nodiscard]] speed_factors factors(state::member_key member, state::time_point now) const;
    /// \brief Returns this VM's own rows for peers, those with the newest observations first.
    [[nodiscard]] std::vector<speed_row> own_rows(std::size_t max_count,
                                                  state::time_point now) const;
    /// \brief Replaces the rows of a peer for the upstreams that it names.
    void apply_update(state::node_id peer, std::span<speed_row const> rows, state::time_point now);
    /// \brief Drops what has aged.
    void sweep(state::time_point now);
};

} // namespace plumdale::coordination
