#include <plumdale/coordination/load_update_queue.hpp>
#include <plumdale/coordination/upstream_selector.hpp>
#include <plumdale/coordination/upstream_subset.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point now{10s};

struct fleet_size
{
    std::size_t vms = 0;
    std::size_t zones = 0;
    std::size_t upstreams = 0;
};

std::string zone_name(std::size_t index, fleet_size size)
{
    return "zone-" + std::to_string(index % size.zones);
}

state::node_id vm_id(std::size_t index)
{
    return state::id_from_name<state::node_id>("vm-" + std::to_string(index));
}

state::service_member upstream(std::size_t index, fleet_size size)
{
    state::service_member member;
    member.name = "i-" + std::to_string(index);
    member.service = "lists";
    member.zone = zone_name(index, size);
    member.slots = 24;
    member.revision = 1;
    return member;
}

/// \brief The directory and subset of one VM in a fleet of a given size.
struct subset_fixture
{
    explicit subset_fixture(fleet_size size) : subset{directory, vm_id(0)}
    {
        for (std::size_t i = 0; i < size.upstreams; ++i)
        {
            directory.merge(upstream(i, size), now);
        }
        std::vector<state::zone_id> zones;
        for (std::size_t i = 0; i < size.vms; ++i)
        {
            zones.push_back(state::id_from_name<state::zone_id>(zone_name(i, size)));
        }
        subset.update_fleet(zones);
    }

    service_directory directory;
    upstream_subset subset;
};

// Number of VMs of the upstreams' zone whose subsets have each upstream of the first zone.
std::map<state::member_key, std::size_t> vms_by_upstream(subset_fixture const& fixture,
                                                         fleet_size size)
{
    std::map<state::member_key, std::size_t> counts;
    double const share = fixture.subset.share("lists", "zone-0");
    for (state::member_key const key : fixture.directory.members_of("lists", "zone-0"))
    {
        counts[key] = 0;
        for (std::size_t vm = 0; vm < size.vms; vm += size.zones)
        {
            counts[key] += upstream_subset::contains(vm_id(vm), key, share) ? 1 : 0;
        }
    }
    return counts;
}

constexpr fleet_size fleet_of_584{584, 6, 6'000};
constexpr fleet_size fleet_of_1000{1'000, 6, 11'000};

} // namespace

// Load pattern: each start and end of a generation was sent to all VMs of the fleet, so that the
// bytes of each VM grew with it, and a row was two seconds old when it left.
TEST_CASE("a row of load has as many receivers in a fleet of 1,000 as in one of 300",
          "[upstream_subset][load]")
{
    for (fleet_size const size : {fleet_size{300, 4, 3'000}, fleet_of_584, fleet_of_1000})
    {
        subset_fixture const fixture{size};
        REQUIRE(fixture.subset.divides("lists"));
        std::size_t receivers = 0;
        std::size_t most = 0;
        auto const counts = vms_by_upstream(fixture, size);
        for (auto const& [key, count] : counts)
        {
            receivers += count;
            most = std::max(most, count);
        }
        double const mean = static_cast<double>(receivers) / static_cast<double>(counts.size());
        INFO("fleet of " << size.vms << ", mean " << mean << ", most " << most);
        CHECK(mean < 10.0);
        CHECK(most < 30);
    }
}

TEST_CASE("nearly every upstream of a large service is in some VM's subset", "[upstream_subset]")
{
    for (fleet_size const size : {fleet_of_584, fleet_of_1000, fleet_size{6, 3, 11'000}})
    {
        auto const counts = vms_by_upstream(subset_fixture{size}, size);
        auto const unused = static_cast<std::size_t>(std::count_if(
            counts.begin(), counts.end(), [](auto const& each) { return each.second == 0; }));
        CHECK(unused * 200 <= counts.size());
    }
}

TEST_CASE("a VM routes over a part of bounded size in its zone", "[upstream_subset]")
{
    for (fleet_size const size : {fleet_of_584, fleet_of_1000})
    {
        std::size_t const part = subset_fixture{size}.subset.own_part("lists", "zone-0").size();
        CHECK(part >= 40);
        CHECK(part <= 140);
    }
    // Two VMs a zone divide nothing: each uses all upstreams of its zone.
    fleet_size const few_vms{6, 3, 3'000};
    CHECK(subset_fixture{few_vms}.subset.own_part("lists", "zone-0").size() == 1'000);
}

TEST_CASE("a service with few upstreams is not divided", "[upstream_subset]")
{
    CHECK_FALSE(subset_fixture{{295, 6, 122}}.subset.divides("lists"));
    CHECK_FALSE(subset_fixture{{6, 3, 16}}.subset.divides("lists"));
    CHECK_FALSE(subset_fixture{{6, 3, 16}}.subset.divides("unknown"));
}

// VMs join and leave all the time, and each knows of it a little earlier or later than the others.
TEST_CASE("VMs that count the fleet differently agree on nearly all subsets", "[upstream_subset]")
{
    fleet_size const fewer{570, 6, 6'000};
    auto const counted = vms_by_upstream(subset_fixture{fleet_of_584}, fleet_of_584);
    double const share = subset_fixture{fewer}.subset.share("lists", "zone-0");
    std::size_t different = 0;
    for (auto const& [key, count] : counted)
    {
        std::size_t others = 0;
        for (std::size_t vm = 0; vm < fleet_of_584.vms; vm += fleet_of_584.zones)
        {
            others += upstream_subset::contains(vm_id(vm), key, share) ? 1 : 0;
        }
        different += std::max(others, count) - std::min(others, count);
    }
    CHECK(different * 4 < counted.size());
}

namespace
{

/// \brief A selector over a subset.
struct selecting_vm : subset_fixture
{
    explicit selecting_vm(fleet_size size) : subset_fixture{size} {}

    [[nodiscard]] std::optional<selected_upstream> choose()
    {
        state::service service;
        service.name = "lists";
        service.engine = state::engine_limits{};
        service.engine->memory_tokens = 20'000;
        return selector.choose(service, {3'000, 500}, {"zone-0"}, now);
    }

    [[nodiscard]] bool is_in_part(state::member_key key) const
    {
        auto const part = subset.own_part("lists", "zone-0");
        return std::find(part.begin(), part.end(), key) != part.end();
    }

    load_ledger ledger;
    outlier_detector health;
    std::minstd_rand random{1};
    fleet_view fleet{vm_id(0)};
    cold_upstream_limiter share{fleet, vm_id(0), {}};
    upstream_limits limits{fleet, {}};
    upstream_backoffs backoffs;
    refusal_bounds refusals{limits};
    send_gate gate{directory, health, backoffs, share, limits, refusals};
    selection_hints hints;
    upstream_selector selector{directory, ledger, health, gate, subset, hints, "zone-0", random};
};

} // namespace

TEST_CASE("calls go to the own subset", "[upstream_subset][upstream_selector]")
{
    selecting_vm vm{fleet_of_584};
    for (int i = 0; i < 100; ++i)
    {
        auto const chosen = vm.choose();
        REQUIRE(chosen);
        CHECK(vm.is_in_part(chosen->member));
    }
}

// Guards against copies to upstreams that look empty, as their load is told to other VMs only.
TEST_CASE("copies go to the own subset", "[upstream_subset][upstream_selector]")
{
    selecting_vm vm{fleet_of_584};
    state::service service;
    service.name = "lists";
    service.engine = state::engine_limits{};
    service.engine->memory_tokens = 30'000;
    for (int i = 0; i < 100; ++i)
    {
        copy_choice const choice =
            vm.selector.choose_for_copy(service, {3'000, 500, 1'500ms}, {"zone-0"}, now);
        REQUIRE(choice.member);
        CHECK(vm.is_in_part(*choice.member));
    }
}

// Guards against refusals while thousands of upstreams of other zones are free.
TEST_CASE("calls go elsewhere where the subset takes no work",
          "[upstream_subset][upstream_selector]")
{
    selecting_vm evacuated{fleet_of_584};
    auto const zone = state::id_from_name<state::zone_id>("zone-0");
    evacuated.directory.evacuations().merge({5, {{zone, 5}}}, now);
    auto const elsewhere = evacuated.choose();
    REQUIRE(elsewhere);
    CHECK(evacuated.directory.find(elsewhere->member)->info.zone != "zone-0");

    selecting_vm cut_off{fleet_of_584};
    for (state::member_key const key : cut_off.directory.members_of("lists", "zone-0"))
    {
        for (int failure = 0; failure < 10; ++failure)
        {
            cut_off.health.note(key, call_result::failed, now);
        }
    }
    auto const reachable = cut_off.choose();
    REQUIRE(reachable);
    CHECK(cut_off.directory.find(reachable->member)->info.zone != "zone-0");
}
