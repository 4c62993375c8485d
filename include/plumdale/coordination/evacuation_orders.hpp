#pragma once

#include <plumdale/state/evacuation.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Availability zones that are under evacuation, as far as this entry VM knows.

namespace plumdale::coordination
{

/// \brief Merges evacuation orders of the store and of peers, received in any order.
///
/// Each message holds the whole set as of a revision, and the newest set replaces older ones: a
/// delayed message can't restore a revoked order. Example:
/// \code
/// evacuation_orders orders;
/// orders.merge({revision, {{zone, revision}}}, now);
/// if (orders.covers(zone)) { ... }
/// \endcode
class evacuation_orders
{
public:
    /// \brief Applies the whole set as of a revision; returns the changes, none if the known set is
    /// as new.
    std::vector<state::evacuation_change> merge(state::evacuations const& received,
                                                state::time_point now);
    /// \brief Applies the changes up to revision `as_of`, which follow a known revision; returns
    /// those that took effect.
    std::vector<state::evacuation_change>
    apply_changes(std::span<state::evacuation_change const> changes, std::uint64_t as_of,
                  state::time_point now);

    [[nodiscard]] bool covers(state::zone_id zone) const noexcept;
    /// \brief Returns when this VM learnt that a zone's last order was revoked; the epoch if none
    /// was.
    [[nodiscard]] state::time_point ended_at(state::zone_id zone) const;
    [[nodiscard]] state::evacuations const& known() const noexcept
    {
        return known_;
    }

    /// \brief Returns a digest of the orders in force; equal ones mean the same orders.
    [[nodiscard]] std::uint64_t digest() const noexcept;

    /// \brief Maximum number of orders, above the zones of any fleet; the oldest ones are kept.
    static constexpr std::size_t capacity = 32;

private:
    [[nodiscard]] bool lacks_retained_zone(state::evacuations const& received) const;
    std::vector<state::evacuation_change> replace(std::vector<state::evacuation> in_force,
                                                  state::time_point now);

    state::evacuations known_;
    /// \brief Zones whose orders the store lacked after it was restored from a copy.
    std::vector<state::zone_id> retained_zones_;
    std::unordered_map<state::zone_id, state::time_point> ended_at_;
};

} // namespace plumdale::coordination
