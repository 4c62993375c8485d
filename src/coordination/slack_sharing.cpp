#include <plumdale/coordination/slack_sharing.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

slack_sharing::slack_sharing(fleet_view const& fleet, state::node_id self,
                             std::vector<state::node_id> seeds, state::time_point started,
                             state::duration window)
    : fleet_{fleet}, self_{self}, seeds_{std::move(seeds)}, eligible_from_{started + window +
                                                                           settling_time}
{
}

// Once settled, a VM keeps its part: peers that it no longer reaches count on, so that both sides
// of a cut spend what they spent before it.
std::size_t slack_sharing::sharers(state::time_point now)
{
    has_part_ = has_part_ || has_settled(now);
    return has_part_ ? fleet_.peak_live() : 0;
}

bool slack_sharing::has_settled(state::time_point now) const
{
    return now >= eligible_from_ && now >= fleet_.last_joined() + settling_time &&
           reaches_most_seeds(now);
}

// VMs that start behind a cut know one another only. They would divide the whole slack among
// themselves, while those on the other side spend their parts; most seeds are on one side at most.
bool slack_sharing::reaches_most_seeds(state::time_point now) const
{
    auto const is_reached = [this, now](state::node_id seed)
    {
        auto const peer = fleet_.peers().find(seed);
        return seed == self_ || (peer != fleet_.peers().end() && fleet_.is_live(peer->second, now));
    };
    auto const reached = std::count_if(seeds_.begin(), seeds_.end(), is_reached);
    return seeds_.empty() || 2 * static_cast<std::size_t>(reached) > seeds_.size();
}

} // namespace plumdale::coordination
