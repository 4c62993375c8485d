#include <plumdale/coordination/evacuation_orders.hpp>
#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

using state::evacuation;
using state::evacuation_change;

bool contains_zone(std::span<evacuation const> orders, state::zone_id zone) noexcept
{
    return std::any_of(orders.begin(), orders.end(),
                       [zone](evacuation const& each) { return each.zone == zone; });
}

// Makes the result equal on every entry VM, whatever the order of the store's pages.
void sort_and_truncate(std::vector<evacuation>& orders)
{
    std::sort(orders.begin(), orders.end(),
              [](evacuation const& a, evacuation const& b) {
                  return std::pair{a.revision, a.zone} < std::pair{b.revision, b.zone};
              });
    orders.resize(std::min(orders.size(), evacuation_orders::capacity));
}

} // namespace

std::vector<evacuation_change> evacuation_orders::merge(state::evacuations const& received,
                                                        state::time_point now)
{
    // A VM that was partitioned, or a delayed message, reports orders that have been revoked since:
    // only the newest set counts, as a whole.
    bool const is_newer = received.as_of > known_.as_of;
    bool const is_repeated = received.as_of == known_.as_of && lacks_retained_zone(received);
    if (!is_newer && !is_repeated)
    {
        return {};
    }
    // A store that was restored from a copy may lack an order that it acknowledged, until the
    // operator has written it again. The order stays in force until a later set of the same era
    // lacks it too.
    bool const was_restored = state::era_in(received.as_of) > state::era_in(known_.as_of);
    std::vector<evacuation> in_force = received.in_force;
    retained_zones_.clear();
    for (evacuation const& former : known_.in_force)
    {
        if (was_restored && !contains_zone(received.in_force, former.zone))
        {
            in_force.push_back(former);
            retained_zones_.push_back(former.zone);
        }
    }
    known_.as_of = received.as_of;
    return replace(std::move(in_force), now);
}

// A restored store without new writes returns the same set at the same revision when it is read
// again; the retained orders end then.
bool evacuation_orders::lacks_retained_zone(state::evacuations const& received) const
{
    return std::any_of(retained_zones_.begin(), retained_zones_.end(),
                       [&received](state::zone_id zone)
                       { return !contains_zone(received.in_force, zone); });
}

std::vector<evacuation_change>
evacuation_orders::apply_changes(std::span<evacuation_change const> changes, std::uint64_t as_of,
                                 state::time_point now)
{
    if (as_of <= known_.as_of)
    {
        return {};
    }
    std::vector<evacuation> in_force = known_.in_force;
    for (evacuation_change const& change : changes)
    {
        // A peer may have reported this change already, and later ones.
        if (change.order.revision <= known_.as_of)
        {
            continue;
        }
        std::erase_if(in_force,
                      [&change](evacuation const& each) { return each.zone == change.order.zone; });
        if (!change.revoked)
        {
            in_force.push_back(change.order);
        }
    }
    known_.as_of = as_of;
    return replace(std::move(in_force), now);
}

std::vector<evacuation_change> evacuation_orders::replace(std::vector<evacuation> in_force,
                                                          state::time_point now)
{
    sort_and_truncate(in_force);
    std::vector<evacuation_change> changes;
    for (evacuation const& former : known_.in_force)
    {
        if (!contains_zone(in_force, former.zone))
        {
            changes.push_back({former, true});
            ended_at_[former.zone] = now;
        }
    }
    for (evacuation const& each : in_force)
    {
        if (!contains_zone(known_.in_force, each.zone))
        {
            changes.push_back({each, false});
        }
    }
    known_.in_force = std::move(in_force);
    return changes;
}

bool evacuation_orders::covers(state::zone_id zone) const noexcept
{
    return contains_zone(known_.in_force, zone);
}

std::uint64_t evacuation_orders::digest() const noexcept
{
    std::uint64_t digest = 0;
    for (evacuation const& each : known_.in_force)
    {
        digest ^= state::mix(each.zone.value, each.revision);
    }
    return digest;
}

state::time_point evacuation_orders::ended_at(state::zone_id zone) const
{
    auto const found = ended_at_.find(zone);
    return found == ended_at_.end() ? state::time_point{} : found->second;
}

} // namespace plumdale::coordination
