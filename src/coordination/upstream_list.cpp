#include <plumdale/coordination/upstream_list.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace plumdale::coordination
{
namespace
{

constexpr std::size_t bytes_per_upstream = 150;

} // namespace

upstream_list::upstream_list(node_settings const& settings, std::uint64_t seed)
    : settings_{settings}, random_{static_cast<std::minstd_rand::result_type>(
                               state::mix(seed, settings.self.id.value))}
{
}

void upstream_list::replace(std::span<state::upstream const> listed, state::time_point now)
{
    std::unordered_map<state::upstream_id, upstream_view const*> known;
    for (upstream_view const& view : views_)
    {
        known.emplace(view.info.id, &view);
    }
    std::vector<upstream_view> views;
    views.reserve(listed.size());
    for (state::upstream const& each : listed)
    {
        auto const at = known.find(each.id);
        if (at != known.end() && at->second->info.incarnation_number == each.incarnation_number)
        {
            views.push_back({each, at->second->gauge, true});
            continue;
        }
        auto gauge = std::make_shared<upstream_gauge>();
        gauge->first_seen.store(now.time_since_epoch().count());
        views.push_back({each, std::move(gauge), true});
    }
    std::sort(views.begin(), views.end(),
              [](upstream_view const& a, upstream_view const& b) {
                  return std::pair{a.info.model, a.info.id} < std::pair{b.info.model, b.info.id};
              });
    views_ = std::move(views);
    next_ = std::max(next_, now + interval() / 2);
}

void upstream_list::advance(state::time_point now, control_actions& actions)
{
    if (now >= next_)
    {
        next_ = now + interval();
        actions.emplace_back(read_vm_list{});
    }
}

upstream_view const* upstream_list::find(state::upstream_id id) const noexcept
{
    auto const at = std::find_if(views_.begin(), views_.end(),
                                 [id](upstream_view const& view) { return view.info.id == id; });
    return at == views_.end() ? nullptr : &*at;
}

state::duration upstream_list::interval()
{
    std::size_t const bytes = views_.size() * bytes_per_upstream;
    std::chrono::milliseconds const affordable{1'000 * bytes /
                                               std::max(settings_.vm_list_bytes_per_second, 1U)};
    state::duration const base = std::max<state::duration>(settings_.vm_list_interval, affordable);
    // Jittered, so that at any time some node of the fleet reads and informs the others.
    std::uniform_int_distribution<state::duration::rep> of{base.count() * 3 / 4,
                                                           base.count() * 5 / 4};
    return state::duration{of(random_)};
}

} // namespace plumdale::coordination
