#include <plumdale/coordination/subset_selector.hpp>

#include <algorithm>

namespace plumdale::coordination
{

subset_selector::subset_selector(state::node_id self, state::zone_id zone, subset_limits limits)
    : self_{self}, zone_{zone}, limits_{limits}
{
}

zone_split subset_selector::select(fleet_snapshot const& fleet, state::model_id model)
{
    cached_subset& each = cached_subsets_[model];
    // A snapshot that was never published has version zero; its subsets are not cached.
    if (fleet.version == 0 || each.version != fleet.version)
    {
        each.version = fleet.version;
        rebuild(each, fleet, model);
    }
    std::span<upstream_view const* const> const all{each.views};
    return {all.first(each.own_count), all.subspan(each.own_count), all};
}

std::size_t subset_selector::own_limit(fleet_snapshot const& fleet, std::size_t upstreams) const
{
    auto const peers =
        std::count_if(fleet.members.begin(), fleet.members.end(),
                      [this](state::member const& each)
                      { return each.zone == zone_ && each.health != state::member_health::dead; });
    std::size_t const entry_vms = static_cast<std::size_t>(peers) + 1;
    return std::clamp(limits_.entry_vms_per_upstream * upstreams / entry_vms, limits_.min_own_zone,
                      limits_.max_own_zone);
}

void subset_selector::rebuild(cached_subset& each, fleet_snapshot const& fleet,
                              state::model_id model) const
{
    std::span<upstream_view const> const views = fleet.upstreams_of(model);
    each.views.clear();
    for (upstream_view const& view : views)
    {
        if (view.accepting && view.info.zone == zone_)
        {
            each.views.push_back(&view);
        }
    }
    each.own_count = keep_subset(each.views, 0, own_limit(fleet, each.views.size()));
    for (upstream_view const& view : views)
    {
        if (view.accepting && view.info.zone != zone_)
        {
            each.views.push_back(&view);
        }
    }
    static_cast<void>(keep_subset(each.views, each.own_count, limits_.other_zones));
}

std::size_t subset_selector::keep_subset(std::vector<upstream_view const*>& views, std::size_t from,
                                         std::size_t limit) const
{
    if (views.size() - from > limit)
    {
        auto const first = views.begin() + static_cast<std::ptrdiff_t>(from);
        auto const last = first + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(first, last, views.end(),
                         [this](upstream_view const* a, upstream_view const* b) {
                             return state::mix(self_.value, a->info.id.value) <
                                    state::mix(self_.value, b->info.id.value);
                         });
        views.resize(from + limit);
    }
    return views.size() - from;
}

} // namespace plumdale::coordination
