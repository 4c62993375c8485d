#include "policy_fixture.hpp"

#include <plumdale/coordination/memory_cap_policy.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace plumdale::coordination::testing;

namespace
{

fleet_snapshot large_zone(std::uint32_t engines, std::uint64_t entry_vms)
{
    fleet_snapshot fleet = fleet_of(engines);
    for (auto& each : fleet.upstreams)
    {
        each.info.zone = zone_a;
    }
    for (std::uint64_t i = 2; i <= entry_vms; ++i)
    {
        state::member other;
        other.id = state::node_id{i};
        other.zone = zone_a;
        fleet.members.push_back(other);
    }
    fleet.version = 1;
    return fleet;
}

} // namespace

TEST_CASE("in a large zone some entry VMs share each engine, and a list change moves few",
          "[subset_selector]")
{
    fleet_snapshot fleet = large_zone(120, 60);
    std::map<state::upstream_id, int> shared;
    int moved = 0;
    fleet_snapshot smaller = fleet;
    smaller.version = 2;
    smaller.upstreams.erase(smaller.upstreams.begin());
    for (std::uint64_t node = 1; node <= 60; ++node)
    {
        subset_selector selector{state::node_id{node}, zone_a, {}};
        std::vector<state::upstream_id> before;
        for (upstream_view const* each : selector.select(fleet, lists).all)
        {
            before.push_back(each->info.id);
            ++shared[each->info.id];
        }
        CHECK(before.size() == 16);
        for (upstream_view const* each : selector.select(smaller, lists).all)
        {
            bool const known = std::count(before.begin(), before.end(), each->info.id) > 0;
            moved += known ? 0 : 1;
        }
    }
    CHECK(shared.size() == 120);
    CHECK(moved <= shared[fleet.upstreams[0].info.id]);
}

TEST_CASE("a subset is cached for one snapshot version and rebuilt for the next",
          "[subset_selector]")
{
    fleet_snapshot fleet = large_zone(4, 1);
    subset_selector selector{state::node_id{1}, zone_a, {}};
    CHECK(selector.select(fleet, lists).own_zone.size() == 4);
    fleet.upstreams[0].accepting = false;
    ++fleet.version;
    CHECK(selector.select(fleet, lists).own_zone.size() == 3);
}

TEST_CASE("the baselines refuse drafts above their cap, and questions later than drafts",
          "[memory_cap_policy]")
{
    fleet_snapshot fleet = fleet_of(2);
    report(*fleet.upstreams[0].gauge, 3500, 20, at(0));
    report(*fleet.upstreams[1].gauge, 3500, 20, at(0));
    memory_cap_policy policy{std::make_unique<least_reported_load>(), 0.8};
    auto const draft = request_of(state::work_kind::draft);
    auto const question = request_of(state::work_kind::question);
    CHECK(policy.decide(first_attempt(draft, at(1)), fleet, at(1)).kind ==
          state::error_kind::overloaded);
    CHECK(policy.decide(first_attempt(question, at(1)), fleet, at(1)).verdict ==
          dispatch_verdict::dispatch);
    report(*fleet.upstreams[1].gauge, 100, 20, at(0));
    CHECK(policy.decide(first_attempt(draft, at(1)), fleet, at(1)).upstream->info.id ==
          fleet.upstreams[1].info.id);
}
