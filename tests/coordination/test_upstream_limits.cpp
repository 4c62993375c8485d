#include <plumdale/coordination/upstream_limits.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

// Load pattern: an overloaded upstream states a limit, and all entry VMs of a fleet always have
// more calls for it than that.

namespace
{

constexpr state::time_point start_time{100s};
constexpr state::member_key member{7};
constexpr state::member_key other{8};

state::node_id node(std::size_t index)
{
    return state::id_from_name<state::node_id>("vm-" + std::to_string(index));
}

/// \brief One entry VM that has known its peers for 10 s.
struct entry_vm
{
    entry_vm(std::size_t index, std::size_t vms) : fleet{node(index)}, limits{fleet, node(index)}
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

    fleet_view fleet;
    upstream_limits limits;
};

using fleet_of_vms = std::vector<std::unique_ptr<entry_vm>>;

fleet_of_vms limited_fleet(std::size_t vms, double per_second)
{
    fleet_of_vms fleet;
    for (std::size_t i = 0; i < vms; ++i)
    {
        fleet.push_back(std::make_unique<entry_vm>(i, vms));
        fleet.back()->limits.apply_update({member, per_second, 0s}, start_time);
    }
    return fleet;
}

/// \brief What a fleet sent over a simulated time.
struct arrivals
{
    std::size_t all = 0;
    std::size_t most_in_window = 0;
};

constexpr state::duration window = 4s;

// Each VM sends whenever it may, which is checked `polls_per_second` times per second.
arrivals simulate(fleet_of_vms& fleet, int polls_per_second, state::duration time)
{
    arrivals found;
    std::deque<state::time_point> lately;
    state::duration const step = std::chrono::duration_cast<state::duration>(1s) / polls_per_second;
    for (state::time_point now = start_time; now < start_time + time; now += step)
    {
        for (auto const& vm : fleet)
        {
            if (!vm->limits.may_send(member, now))
            {
                continue;
            }
            vm->limits.note_sent(member, now);
            vm->limits.apply_update({member, vm->limits.limit_of(member), 0s}, now);
            ++found.all;
            lately.push_back(now);
        }
        while (!lately.empty() && lately.front() + window <= now)
        {
            lately.pop_front();
        }
        found.most_in_window = std::max(found.most_in_window, lately.size());
    }
    return found;
}

} // namespace

// Guards against an overloaded upstream that gets more than it states, summed over VMs that each
// keep to the limit.
TEST_CASE("a fleet sends an upstream the rate that it states", "[limits][load]")
{
    for (std::size_t const vms : {1U, 6U, 9U, 60U, 300U})
    {
        for (double const limit : {0.5, 1.0, 3.1, 35.0, 200.0})
        {
            fleet_of_vms fleet = limited_fleet(vms, limit);
            arrivals const sent = simulate(fleet, 200, 20s);
            CAPTURE(vms, limit);
            // The users' rule allows one and a half times the limit plus five requests.
            CHECK(static_cast<double>(sent.most_in_window) <= 1.5 * 4.0 * limit + 5.0);
            // The VMs together use most of the limit.
            CHECK(static_cast<double>(sent.all) >= 0.8 * 20.0 * limit);
        }
    }
}

// Guards against an upstream that states a limit of zero and, without requests, can never end it.
TEST_CASE("an upstream that states zero still gets a request now and then", "[limits]")
{
    for (std::size_t const vms : {9U, 300U})
    {
        fleet_of_vms fleet = limited_fleet(vms, 0.0);
        arrivals const sent = simulate(fleet, 20, 60s);
        CHECK(sent.all >= 4);
        CHECK(sent.most_in_window <= 5);
    }
}

// Guards against a burst from a VM that had no calls for a while and accumulated its part.
TEST_CASE("unused requests accumulate for half a second at most", "[limits]")
{
    fleet_of_vms fleet = limited_fleet(1, 20.0);
    upstream_limits& limits = fleet.front()->limits;
    std::size_t sent = 0;
    while (limits.may_send(member, start_time + 10s))
    {
        limits.note_sent(member, start_time + 10s);
        ++sent;
    }
    CHECK(sent == 10);
    CHECK(limits.may_send(other, start_time + 10s));
}

TEST_CASE("a limit ends with an answer that states none once none was stated for a while",
          "[limits]")
{
    entry_vm vm{0, 9};
    upstream_limits& limits = vm.limits;
    CHECK(limits.answered(member, std::nullopt, start_time) == limit_change::none);
    CHECK(limits.answered(member, 3.1, start_time) == limit_change::added);
    CHECK(limits.answered(member, 3.1, start_time + 500ms) == limit_change::none);
    // An answer that was sent before the statement arrives after it.
    CHECK(limits.answered(member, std::nullopt, start_time + 600ms) == limit_change::none);
    CHECK(limits.limit_of(member) == 3.1);
    CHECK(limits.answered(member, std::nullopt, start_time + 1'500ms) == limit_change::removed);
    CHECK_FALSE(limits.limit_of(member));
    CHECK(limits.may_send(member, start_time + 1'500ms));
    // Only the newest statement is reported, however often it changed.
    auto const reported = limits.unreported(start_time + 2s);
    REQUIRE_FALSE(reported.empty());
    CHECK_FALSE(reported.back().per_second);
    CHECK(reported.back().age == 500ms);
    CHECK(limits.unreported(start_time + 2s).empty());
}

TEST_CASE("another value holds at once, and is reported if it differs enough", "[limits]")
{
    entry_vm vm{0, 9};
    upstream_limits& limits = vm.limits;
    limits.answered(member, 10.0, start_time);
    static_cast<void>(limits.unreported(start_time));
    CHECK(limits.answered(member, 10.2, start_time + 1s) == limit_change::none);
    CHECK(limits.limit_of(member) == 10.2);
    CHECK(limits.unreported(start_time + 1s).empty());
    CHECK(limits.answered(member, 5.0, start_time + 2s) == limit_change::updated);
    CHECK(limits.unreported(start_time + 2s).size() == 1);
}

// Guards against a limit that has ended and is restored by a delayed message.
TEST_CASE("the newer of two statements counts, in any order of arrival", "[limits]")
{
    for (unsigned seed = 0; seed < 2'000; ++seed)
    {
        std::mt19937 random{seed};
        std::vector<state::stated_limit> reported;
        for (int i = 0; i < 6; ++i)
        {
            auto const limit = random() % 3 == 0 ? std::nullopt : std::optional{1.0 + random() % 9};
            reported.push_back({member, limit, std::chrono::milliseconds{100 * i}});
        }
        std::shuffle(reported.begin(), reported.end(), random);
        entry_vm vm{0, 9};
        std::optional<double> newest;
        state::duration newest_age = 1h;
        for (state::stated_limit const& each : reported)
        {
            vm.limits.apply_update(each, start_time);
            if (each.age < newest_age)
            {
                newest_age = each.age;
                newest = each.per_second;
            }
        }
        INFO("seed " << seed);
        REQUIRE(vm.limits.limit_of(member) == newest);
    }
}

// Guards against an upstream that stays unused because the end of its limit was missed.
TEST_CASE("a limit that is not repeated expires, one that peers repeat doesn't", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({member, 3.0, 0s}, start_time);
    vm.limits.apply_update({other, 3.0, 0s}, start_time);
    vm.limits.apply_update({other, 3.0, 0s}, start_time + 20s);
    vm.limits.sweep(start_time + upstream_limits::lifetime);
    CHECK_FALSE(vm.limits.limit_of(member));
    CHECK(vm.limits.limit_of(other) == 3.0);
    vm.limits.apply_update({member, 3.0, upstream_limits::lifetime}, start_time + 30s);
    CHECK_FALSE(vm.limits.limit_of(member));
}

TEST_CASE("a VM repeats to peers what it read itself lately", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({other, 3.0, 0s}, start_time);
    CHECK(vm.limits.confirmed(10, start_time).empty());
    vm.limits.answered(member, 3.1, start_time);
    REQUIRE(vm.limits.confirmed(10, start_time + 1s).size() == 1);
    CHECK(vm.limits.confirmed(10, start_time + 1s)[0].age == 1s);
    CHECK(vm.limits.confirmed(0, start_time + 1s).empty());
    CHECK(vm.limits.confirmed(10, start_time + upstream_limits::rebroadcast_time).empty());
}

TEST_CASE("limits that are NaN or negative are ignored, huge ones are capped", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({member, std::nan(""), 0s}, start_time);
    vm.limits.apply_update({member, -1.0, 0s}, start_time);
    CHECK_FALSE(vm.limits.limit_of(member));
    vm.limits.apply_update({member, 1e300, 0s}, start_time);
    CHECK(vm.limits.may_send(other, start_time));
    CHECK(vm.limits.limit_of(member) <= 1e6);
}
