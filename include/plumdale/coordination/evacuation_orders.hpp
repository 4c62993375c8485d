#pragma once

#include <plumdale/state/evacuation.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which availability zones' upstreams are to get nothing, as far as this entry VM knows.

namespace plumdale::coordination
{

/// \brief Joins what is heard of evacuations, from the store and from peers, in any order.
///
/// What is exchanged is always the whole set as of a revision, and the newest set holds: an order
/// that was taken back can't return by a message from before. Example:
/// \code
/// evacuation_orders orders;
/// orders.merge({revision, {{zone, revision}}}, now);
/// if (orders.covers(zone)) { ... }
/// \endcode
class evacuation_orders
{
public:
    /// \brief Takes the whole set as of a revision; returns what it changed, nothing if an equally
    /// new one is known.
    std::vector<state::evacuation_change> merge(state::evacuations const& received,
                                                state::time_point now);
    /// \brief Takes the changes up to revision `as_of`, which follow on a revision that is known;
    /// returns what they changed.
    std::vector<state::evacuation_change>
    apply_changes(std::span<state::evacuation_change const> changes, std::uint64_t as_of,
                  state::time_point now);

    [[nodiscard]] bool covers(state::zone_id zone) const noexcept;
    /// \brief Returns when a zone's last order was taken back, as learnt here; the epoch if none
    /// was.
    [[nodiscard]] state::time_point ended_at(state::zone_id zone) const;
    [[nodiscard]] state::evacuations const& known() const noexcept
    {
        return known_;
    }

    /// \brief Most orders that are kept, above the zones of any fleet; those given first are.
    static constexpr std::size_t capacity = 32;

private:
    [[nodiscard]] bool lacks_retained_zone(state::evacuations const& received) const;
    std::vector<state::evacuation_change> replace(std::vector<state::evacuation> in_force,
                                                  state::time_point now);

    state::evacuations known_;
    /// \brief Zones whose orders the store lacked when it came back from a copy.
    std::vector<state::zone_id> retained_zones_;
    std::unordered_map<state::zone_id, state::time_point> ended_at_;
};

} // namespace plumdale::coordination
