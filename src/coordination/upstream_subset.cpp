#include <plumdale/coordination/upstream_subset.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

// Makes the subsets differ from other divisions derived from the same ids.
constexpr std::uint64_t subset_seed = 0x5b5e7;

} // namespace

void upstream_subset::update_fleet(std::span<state::zone_id const> zones)
{
    vms_by_zone_.clear();
    for (state::zone_id const zone : zones)
    {
        ++vms_by_zone_[zone];
    }
}

bool upstream_subset::divides(std::string_view service) const
{
    return directory_.members_of(service).size() > max_undivided;
}

double upstream_subset::share(std::string_view service, std::string_view zone) const
{
    auto const upstreams = static_cast<double>(directory_.members_of(service, zone).size());
    auto const found = vms_by_zone_.find(state::id_from_name<state::zone_id>(zone));
    double const vms = found == vms_by_zone_.end() ? 0.0 : static_cast<double>(found->second);
    double const wanted = std::max(static_cast<double>(min_upstreams) / std::max(1.0, upstreams),
                                   static_cast<double>(min_vms) / std::max(1.0, vms));
    return std::min(1.0, wanted);
}

// Whether an upstream is in a subset depends on the two ids and the share alone, so VMs with
// slightly different views of the fleet still agree on nearly all subsets.
bool upstream_subset::contains(state::node_id vm, state::member_key upstream, double share) noexcept
{
    if (share >= 1.0)
    {
        return true;
    }
    std::uint64_t const place = state::mix(state::mix(vm.value, upstream.value), subset_seed);
    return static_cast<double>(place) < std::ldexp(share, 64);
}

std::vector<state::member_key> upstream_subset::own_part(std::string_view service,
                                                         std::string_view zone) const
{
    double const own_share = share(service, zone);
    std::vector<state::member_key> part;
    for (state::member_key const key : directory_.members_of(service, zone))
    {
        if (contains(self_, key, own_share))
        {
            part.push_back(key);
        }
    }
    return part;
}

} // namespace plumdale::coordination
