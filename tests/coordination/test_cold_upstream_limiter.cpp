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

// Load pattern: the same upstreams become available, empty and cold, to many entry VMs at the same
// moment, under four times the usual calls, while updates on each other's calls are in flight.

namespace
{

constexpr state::cold_limits limits{35.0, 1s};
constexpr state::time_point start_time{100s};
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

/// \brief One entry VM that has known its peers for 10 s.
struct entry_vm
{
    entry_vm(std::size_t index, std::size_t vms)
        : random{static_cast<unsigned>(index + 1)}, fleet{node(index)}, limiter{fleet, node(index),
                                                                                start_time - 20s},
          limits{fleet, node(index)}, refusals{limits}, gate{directory, health, backoffs,
                                                             limiter,   limits, refusals},
          subset{directory, node(index)}, selector{directory, ledger, health, gate,
                                                   subset,    hints,  "a",    random}
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet_update update;
            update.sender = node(i);
            update.incarnation_number = state::incarnation{1};
            update.sequence = 1;
            fleet.apply_update(update, {}, 0, start_time - 10s);
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
        directory.merge(member, start_time - 10s);
        state::member_key const key = state::key_of(member);
        ledger.add(key, {key, 1, tokens, tokens, 0});
    }

    std::minstd_rand random;
    service_directory directory;
    load_ledger ledger;
    outlier_detector health;
    fleet_view fleet;
    cold_upstream_limiter limiter;
    upstream_limits limits;
    refusal_bounds refusals;
    upstream_backoffs backoffs;
    send_gate gate;
    upstream_subset subset;
    selection_hints hints;
    upstream_selector selector;
};

using fleet_of_vms = std::vector<std::unique_ptr<entry_vm>>;

// 44 upstreams in four zones, one of which has been evacuated.
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
        fleet.back()->directory.evacuations().merge({5, {{evacuated_zone, 5}}}, start_time - 5s);
        fleet.back()->directory.mark_complete();
    }
    return fleet;
}

// Sends `rate` calls per second to random VMs of the fleet. Returns the most arrivals within one
// second at any upstream of zone a.
std::size_t max_arrivals_per_second(fleet_of_vms& fleet, int rate, state::duration time)
{
    state::service const service = lists();
    std::map<state::member_key, std::deque<state::time_point>> arrivals;
    std::size_t most = 0;
    std::minstd_rand random_vm{7};
    state::duration const step = std::chrono::duration_cast<state::duration>(1s) / rate;
    for (state::time_point now = start_time; now < start_time + time; now += step)
    {
        entry_vm& vm = *fleet[random_vm() % fleet.size()];
        auto const chosen = vm.selector.choose(service, {2'000, 100}, {"a"}, now);
        if (!chosen)
        {
            continue;
        }
        directory_entry const& entry = *vm.directory.find(chosen->member);
        if (vm.gate.is_cold(entry, service, now))
        {
            vm.limiter.note_sent(chosen->member, now);
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

// Guards against overloading eleven upstreams when their evacuation ends: up to 300 VMs send all
// their calls to them, and each gets more than its cold limit and crashes.
TEST_CASE("upstreams stay within their cold limit after an evacuation",
          "[cold_upstream_limiter][load]")
{
    for (std::size_t const vms : {6U, 60U, 300U})
    {
        fleet_of_vms fleet = loaded_fleet(vms);
        for (auto const& vm : fleet)
        {
            vm->directory.evacuations().merge({9, {}}, start_time);
        }
        std::size_t const most = max_arrivals_per_second(fleet, 1'200, limits.time);
        CAPTURE(vms);
        CHECK(most <= static_cast<std::size_t>(limits.requests_per_second));
        CHECK(most >= 5);
    }
}

// Guards against the same overload after a network failure of a zone: no order ends it, VMs just
// find the zone reachable again.
TEST_CASE("upstreams that were unreachable stay within their cold limit",
          "[cold_upstream_limiter][load]")
{
    fleet_of_vms fleet = loaded_fleet(300);
    for (auto const& vm : fleet)
    {
        vm->directory.evacuations().merge({6, {}}, start_time - 4s);
        for (auto const& [key, entry] : vm->directory.entries())
        {
            if (entry.info.zone == "a")
            {
                vm->health.note(key, call_result::unreachable, start_time - 500ms);
            }
        }
    }
    CHECK(max_arrivals_per_second(fleet, 1'200, limits.time) <=
          static_cast<std::size_t>(limits.requests_per_second));
}

// Guards against VMs, such as a tenth of the fleet, that are cut off from their peers and count
// themselves as the only senders.
TEST_CASE("VMs that are cut off from the others keep to their share",
          "[cold_upstream_limiter][load]")
{
    fleet_of_vms fleet = loaded_fleet(300);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i]->directory.evacuations().merge({9, {}}, start_time);
        // Peers that were silent for a minute still count as senders.
        fleet[i]->fleet.forget_silent(start_time + 60s);
    }
    CHECK(max_arrivals_per_second(fleet, 1'200, limits.time) <=
          static_cast<std::size_t>(limits.requests_per_second));
}

// Guards against VMs that use the whole allowance after a fleet-wide power loss, as each at first
// knows only itself.
TEST_CASE("a VM that has just started sends nothing to a cold upstream", "[cold_upstream_limiter]")
{
    fleet_view fleet{node(0)};
    cold_upstream_limiter const limiter{fleet, node(0), start_time};
    state::member_key const member{1};
    CHECK_FALSE(limiter.may_send(member, limits, start_time + 900ms));
    CHECK(limiter.may_send(member, limits, start_time + 1s));
    fleet_update update;
    update.sender = node(1);
    update.sequence = 1;
    fleet.apply_update(update, {}, 0, start_time + 1s);
    CHECK_FALSE(limiter.may_send(member, limits, start_time + 1'900ms));
    CHECK(limiter.may_send(member, limits, start_time + 2s));
}

// Guards against missing that an upstream becomes cold again, without a restart, by a later entry.
TEST_CASE("an upstream that becomes cold again is treated as cold", "[cold_upstream_limiter]")
{
    entry_vm vm{0, 300};
    vm.list("i-1", "a", 0);
    state::service const service = lists();
    auto const key = *vm.directory.latest("i-1");
    auto const is_cold = [&](state::time_point now)
    {
        return vm.gate.is_cold(*vm.directory.find(key), service, now);
    };
    CHECK_FALSE(is_cold(start_time));
    state::service_member again = vm.directory.find(key)->info;
    again.cold_ms = 700;
    again.revision = 2;
    // Reported to peers, as they don't read its entry.
    CHECK(vm.directory.merge(again, start_time) == directory_change::cold);
    CHECK(vm.directory.find(key)->info.cold_ms == 700);
    again.revision = 3;
    again.cold_ms = 300;
    CHECK(vm.directory.merge(again, start_time + 400ms) == directory_change::none);
    CHECK(is_cold(start_time + 699ms));
    CHECK_FALSE(is_cold(start_time + 700ms));
    vm.directory.note_cold(key, 2s, start_time);
    CHECK(is_cold(start_time + 1'999ms));
    // A damaged value would limit the upstream for weeks.
    vm.directory.note_cold(key, 1'000h, start_time);
    CHECK_FALSE(is_cold(start_time + service_directory::max_cold_time));
    state::service plain = lists();
    plain.cold.reset();
    CHECK_FALSE(vm.gate.is_cold(*vm.directory.find(key), plain, start_time));
}

TEST_CASE("a VM may send several a second in a small fleet, and to some upstreams in a large one",
          "[cold_upstream_limiter]")
{
    entry_vm few{0, 6};
    state::member_key const member{1};
    for (int sent = 0; sent < 5; ++sent)
    {
        REQUIRE(few.limiter.may_send(member, limits, start_time));
        few.limiter.note_sent(member, start_time);
    }
    CHECK_FALSE(few.limiter.may_send(member, limits, start_time));
    CHECK(few.limiter.may_send(member, limits, start_time + 1'001ms));
    std::size_t allowed = 0;
    for (std::size_t i = 0; i < 300; ++i)
    {
        entry_vm const many{i, 300};
        allowed += many.limiter.may_send(member, limits, start_time) ? 1 : 0;
    }
    CHECK(allowed == 35);
}
