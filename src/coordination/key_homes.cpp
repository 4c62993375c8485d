#include <plumdale/coordination/key_homes.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

std::uint64_t weight(state::node_id node, state::idempotency_key_id key) noexcept
{
    return state::mix(node.value, key.value);
}

} // namespace

key_homes::key_homes(state::node_id self, key_home_settings settings)
    : self_{self}, settings_{settings}
{
}

void key_homes::observe(std::span<state::member const> members, state::time_point now)
{
    now_ = now;
    ++round_;
    for (state::member const& each : members)
    {
        observe_member(each, now);
    }
    for (auto& [id, seen] : observations_)
    {
        if (seen.round != round_)
        {
            seen.unlisted_since = std::min(seen.unlisted_since, now);
            seen.dead_since = std::min(seen.dead_since, now);
        }
    }
    // A VM that is partitioned off still runs first attempts for one window, and these may be
    // repeated for another.
    std::erase_if(observations_, [&](auto const& entry)
                  { return entry.second.unlisted_since < now - 2 * settings_.window; });
    in_majority_ = majority_is_alive();
}

void key_homes::observe_member(state::member const& each, state::time_point now)
{
    if (each.id == self_)
    {
        return;
    }
    node_observation& seen = observations_[each.id];
    seen.round = round_;
    seen.unlisted_since = state::never;
    if (each.incarnation_number > seen.incarnation_number)
    {
        seen.incarnation_number = each.incarnation_number;
        seen.left = false;
    }
    if (each.health == state::member_health::dead)
    {
        seen.dead_since = std::min(seen.dead_since, now);
        return;
    }
    seen.left = each.health == state::member_health::leaving;
    seen.last_alive_at = now;
    seen.dead_since = state::never;
}

// A home that appears dead may be alive in another partition, with callers of its own. Its keys are
// taken over only in the majority, and late enough that the other side has detected that it is the
// minority and refuses repeats. So two VMs never both decide as if they knew a key's earlier
// attempts.
bool key_homes::may_take_over(node_observation const& dead) const noexcept
{
    if (!settings_.takeover_safeguard)
    {
        return dead.dead_since != state::never;
    }
    return dead.dead_since != state::never && dead.dead_since + settings_.takeover_delay <= now_ &&
           in_majority_;
}

state::node_id key_homes::home_of(state::idempotency_key_id key) const noexcept
{
    state::node_id home = self_;
    for (auto const& [id, seen] : observations_)
    {
        bool const candidate = !seen.left && !may_take_over(seen);
        if (candidate && weight(id, key) > weight(home, key))
        {
            home = id;
        }
    }
    return home;
}

// Every VM that may have been home counts, even if it is dead, unlisted or partitioned off: a first
// attempt may have run there.
bool key_homes::home_throughout_window(state::idempotency_key_id key) const noexcept
{
    return std::none_of(observations_.begin(), observations_.end(),
                        [&](auto const& entry)
                        {
                            auto const& [id, seen] = entry;
                            bool const left_long_ago =
                                seen.left && seen.last_alive_at + settings_.window < now_;
                            return !left_long_ago && weight(id, key) > weight(self_, key);
                        });
}

bool key_homes::majority_is_alive() const noexcept
{
    std::size_t alive = 1;
    std::size_t known = 1;
    for (auto const& [id, seen] : observations_)
    {
        known += seen.left ? 0 : 1;
        alive += !seen.left && seen.dead_since == state::never ? 1 : 0;
    }
    return alive * 2 > std::max(known, settings_.configured_nodes);
}

bool key_homes::knows_all_nodes() const noexcept
{
    return observations_.size() + 1 >= settings_.configured_nodes;
}

} // namespace plumdale::coordination
