#include <plumdale/coordination/upstream_selector.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

// Load pattern: many entry VMs see the same upstreams come back empty and cold at the same moment,
// under four times the usual calls, while news of each other's calls is still under way.

namespace
{

constexpr state::cold_limits limits{35.0, 1s};
constexpr state::time_point began{100s};
constexpr auto evacuated_zone = state::id_from_name<state::zone_id>("a");

state::service lists()
{
    state::service service;
    service.name = "lists";
    service.engine = state::engine_limits{};
    service.engine->memory_tokens = 20'000;
    service.cold = limits;
    return service;
}

state::node_id node(std::size_t index)
{
    return state::id_from_name<state::node_id>("vm-" + std::to_string(index));
}

/// \brief One entry VM that has known its peers for long.
struct entry_vm
{
    entry_vm(std::size_t index, std::size_t vms)
        : random{static_cast<unsigned>(index + 1)}, fleet{node(index)}, share{fleet, node(index),
                                                                              began - 20s},
          limits{fleet, node(index)}, choice{directory, ledger, health, share, limits, "a", random}
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet_update news;
            news.sender = node(i);
            news.incarnation_number = state::incarnation{1};
            news.sequence = 1;
            fleet.apply_update(news, {}, 0, began - 10s);
        }
    }

    void list(std::string const& name, std::string const& zone, std::uint32_t tokens)
    {
        state::service_member member;
        member.name = name;
        member.service = "lists";
        member.zone = zone;
        member.slots = 24;
        member.revision = 1;
        directory.merge(member, began - 10s);
        state::member_key const key = state::key_of(member);
        ledger.add(key, {key, 1, tokens, tokens, 0});
    }

    std::minstd_rand random;
    service_directory directory;
    load_ledger ledger;
    outlier_detector health;
    fleet_view fleet;
    cold_upstream_limiter share;
    upstream_limits limits;
    upstream_selector choice;
};

using fleet_of_vms = std::vector<std::unique_ptr<entry_vm>>;

// 44 upstreams in four zones, of which those of one have been emptied.
fleet_of_vms loaded_fleet(std::size_t vms)
{
    fleet_of_vms fleet;
    for (std::size_t i = 0; i < vms; ++i)
    {
        fleet.push_back(std::make_unique<entry_vm>(i, vms));
        for (int upstream = 0; upstream < 44; ++upstream)
        {
            std::string const zone(1, static_cast<char>('a' + upstream % 4));
            fleet.back()->list("i-" + std::to_string(upstream), zone, zone == "a" ? 0 : 9'000);
        }
        fleet.back()->directory.evacuations().merge({5, {{evacuated_zone, 5}}}, began - 5s);
        fleet.back()->directory.mark_complete();
    }
    return fleet;
}

// Plays calls at `rate` a second over the fleet; returns the most arrivals in a second at one
// upstream of the zone while it is cold.
std::size_t max_arrivals_per_second(fleet_of_vms& fleet, int rate, state::duration time)
{
    state::service const service = lists();
    std::map<state::member_key, std::deque<state::time_point>> arrivals;
    std::size_t most = 0;
    std::minstd_rand drawn{7};
    state::duration const step = std::chrono::duration_cast<state::duration>(1s) / rate;
    for (state::time_point now = began; now < began + time; now += step)
    {
        entry_vm& vm = *fleet[drawn() % fleet.size()];
        auto const chosen = vm.choice.choose(service, {2'000, 100}, {"a"}, now);
        if (!chosen)
        {
            continue;
        }
        directory_entry const& entry = *vm.directory.find(chosen->member);
        if (vm.choice.is_cold(entry, service, now))
        {
            vm.share.note_sent(chosen->member, now);
        }
        if (entry.info.zone != "a")
        {
            continue;
        }
        auto& row = arrivals[chosen->member];
        row.push_back(now);
        while (row.front() + 1s <= now)
        {
            row.pop_front();
        }
        most = std::max(most, row.size());
    }
    return most;
}

} // namespace

// 300 VMs send all they have to eleven upstreams that come back from an evacuation: each gets more
// than it bears while cold, and crashes.
TEST_CASE("upstreams back from an evacuation get what they bear while cold", "[cold_share][load]")
{
    for (std::size_t const vms : {6U, 60U, 300U})
    {
        fleet_of_vms fleet = loaded_fleet(vms);
        for (auto const& vm : fleet)
        {
            vm->directory.evacuations().merge({9, {}}, began);
        }
        std::size_t const most = max_arrivals_per_second(fleet, 1'200, limits.time);
        CAPTURE(vms);
        CHECK(most <= static_cast<std::size_t>(limits.requests_per_second));
        CHECK(most >= 5);
    }
}

// The zone went dark and comes back: nobody orders it, VMs find it reachable again.
TEST_CASE("upstreams that were unreachable get what they bear while cold", "[cold_share][load]")
{
    fleet_of_vms fleet = loaded_fleet(300);
    for (auto const& vm : fleet)
    {
        vm->directory.evacuations().merge({6, {}}, began - 4s);
        for (auto const& [key, entry] : vm->directory.entries())
        {
            if (entry.info.zone == "a")
            {
                vm->health.note(key, call_result::unreachable, began - 500ms);
            }
        }
    }
    CHECK(max_arrivals_per_second(fleet, 1'200, limits.time) <=
          static_cast<std::size_t>(limits.requests_per_second));
}

// A tenth of the VMs hear nothing of the others, and share the same upstreams with them.
TEST_CASE("VMs that are cut off from the others keep to their share", "[cold_share][load]")
{
    fleet_of_vms fleet = loaded_fleet(300);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i]->directory.evacuations().merge({9, {}}, began);
        // Silent for a minute: still counted as sharing.
        fleet[i]->fleet.forget_silent(began + 60s);
    }
    CHECK(max_arrivals_per_second(fleet, 1'200, limits.time) <=
          static_cast<std::size_t>(limits.requests_per_second));
}

// All VMs lost power: each starts with a fleet of one, and would take the whole allowance.
TEST_CASE("a VM that has just started sends nothing to a cold upstream", "[cold_share]")
{
    fleet_view fleet{node(0)};
    cold_upstream_limiter const share{fleet, node(0), began};
    state::member_key const member{1};
    CHECK_FALSE(share.may_send(member, limits, began + 900ms));
    CHECK(share.may_send(member, limits, began + 1s));
    fleet_update news;
    news.sender = node(1);
    news.sequence = 1;
    fleet.apply_update(news, {}, 0, began + 1s);
    CHECK_FALSE(share.may_send(member, limits, began + 1'900ms));
    CHECK(share.may_send(member, limits, began + 2s));
}

// An upstream says by a later entry that it is cold again, without a new start.
TEST_CASE("an upstream that becomes cold again is taken for cold", "[cold_share]")
{
    entry_vm vm{0, 300};
    vm.list("i-1", "a", 0);
    state::service const service = lists();
    auto const key = *vm.directory.latest("i-1");
    auto const is_cold = [&](state::time_point now)
    {
        return vm.choice.is_cold(*vm.directory.find(key), service, now);
    };
    CHECK_FALSE(is_cold(began));
    state::service_member again = vm.directory.find(key)->info;
    again.cold_ms = 700;
    again.revision = 2;
    // Told to peers: they don't read its entry.
    CHECK(vm.directory.merge(again, began) == directory_change::cold);
    CHECK(vm.directory.find(key)->info.cold_ms == 700);
    again.revision = 3;
    again.cold_ms = 300;
    CHECK(vm.directory.merge(again, began + 400ms) == directory_change::none);
    CHECK(is_cold(began + 699ms));
    CHECK_FALSE(is_cold(began + 700ms));
    vm.directory.note_cold(key, 2s, began);
    CHECK(is_cold(began + 1'999ms));
    // Damage: it would get next to nothing for weeks.
    vm.directory.note_cold(key, 1'000h, began);
    CHECK_FALSE(is_cold(began + service_directory::max_cold_time));
    state::service plain = lists();
    plain.cold.reset();
    CHECK_FALSE(vm.choice.is_cold(*vm.directory.find(key), plain, began));
}

TEST_CASE("a VM of a small fleet may send several a second, one of a large fleet to some",
          "[cold_share]")
{
    entry_vm few{0, 6};
    state::member_key const member{1};
    for (int sent = 0; sent < 5; ++sent)
    {
        REQUIRE(few.share.may_send(member, limits, began));
        few.share.note_sent(member, began);
    }
    CHECK_FALSE(few.share.may_send(member, limits, began));
    CHECK(few.share.may_send(member, limits, began + 1'001ms));
    std::size_t allowed = 0;
    for (std::size_t i = 0; i < 300; ++i)
    {
        entry_vm const many{i, 300};
        allowed += many.share.may_send(member, limits, began) ? 1 : 0;
    }
    CHECK(allowed == 35);
}
