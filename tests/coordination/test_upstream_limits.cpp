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

// Load pattern: an upstream in need states how much it takes, and all entry VMs of a fleet have
// more calls for it than that at every moment.

namespace
{

constexpr state::time_point began{100s};
constexpr state::member_key member{7};
constexpr state::member_key other{8};

state::node_id node(std::size_t index)
{
    return state::id_from_name<state::node_id>("vm-" + std::to_string(index));
}

/// \brief One entry VM that has known its peers for long.
struct entry_vm
{
    entry_vm(std::size_t index, std::size_t vms) : fleet{node(index)}, limits{fleet, node(index)}
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
        fleet.back()->limits.apply_update({member, per_second, 0s}, began);
    }
    return fleet;
}

/// \brief What a fleet sent in some seconds.
struct arrivals
{
    std::size_t all = 0;
    std::size_t most_in_window = 0;
};

constexpr state::duration window = 4s;

// Each VM sends whenever it may, looked at `polls_per_second` times a second.
arrivals play(fleet_of_vms& fleet, int polls_per_second, state::duration time)
{
    arrivals found;
    std::deque<state::time_point> lately;
    state::duration const step = std::chrono::duration_cast<state::duration>(1s) / polls_per_second;
    for (state::time_point now = began; now < began + time; now += step)
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

// Guards against an upstream in need that gets more than it states, summed over VMs that each keep
// to the limit.
TEST_CASE("a fleet sends an upstream what it states that it takes", "[limits][load]")
{
    for (std::size_t const vms : {1U, 6U, 9U, 60U, 300U})
    {
        for (double const limit : {0.5, 1.0, 3.1, 35.0, 200.0})
        {
            fleet_of_vms fleet = limited_fleet(vms, limit);
            arrivals const sent = play(fleet, 200, 20s);
            CAPTURE(vms, limit);
            // The users' rule allows one and a half times as much, and five.
            CHECK(static_cast<double>(sent.most_in_window) <= 1.5 * 4.0 * limit + 5.0);
            // What it takes is used.
            CHECK(static_cast<double>(sent.all) >= 0.8 * 20.0 * limit);
        }
    }
}

// Guards against an upstream that takes next to nothing and can never say that this is over.
TEST_CASE("an upstream that takes nothing still gets a request now and then", "[limits]")
{
    for (std::size_t const vms : {9U, 300U})
    {
        fleet_of_vms fleet = limited_fleet(vms, 0.0);
        arrivals const sent = play(fleet, 20, 60s);
        CHECK(sent.all >= 4);
        CHECK(sent.most_in_window <= 5);
    }
}

// Guards against a VM whose calls came in a pause of others: it sends what it saved up at once.
TEST_CASE("what was not sent is saved up for half a second at most", "[limits]")
{
    fleet_of_vms fleet = limited_fleet(1, 20.0);
    upstream_limits& limits = fleet.front()->limits;
    std::size_t sent = 0;
    while (limits.may_send(member, began + 10s))
    {
        limits.note_sent(member, began + 10s);
        ++sent;
    }
    CHECK(sent == 10);
    CHECK(limits.may_send(other, began + 10s));
}

TEST_CASE("a limit ends once an answer has stated none for a while", "[limits]")
{
    entry_vm vm{0, 9};
    upstream_limits& limits = vm.limits;
    CHECK(limits.answered(member, std::nullopt, began) == limit_change::none);
    CHECK(limits.answered(member, 3.1, began) == limit_change::added);
    CHECK(limits.answered(member, 3.1, began + 500ms) == limit_change::none);
    // An answer that was made before the statement arrives after it.
    CHECK(limits.answered(member, std::nullopt, began + 600ms) == limit_change::none);
    CHECK(limits.limit_of(member) == 3.1);
    CHECK(limits.answered(member, std::nullopt, began + 1'500ms) == limit_change::removed);
    CHECK_FALSE(limits.limit_of(member));
    CHECK(limits.may_send(member, began + 1'500ms));
    // The newest only, however often it changed.
    auto const told = limits.unreported(began + 2s);
    REQUIRE_FALSE(told.empty());
    CHECK_FALSE(told.back().per_second);
    CHECK(told.back().age == 500ms);
    CHECK(limits.unreported(began + 2s).empty());
}

TEST_CASE("another value holds at once, and is told where it differs", "[limits]")
{
    entry_vm vm{0, 9};
    upstream_limits& limits = vm.limits;
    limits.answered(member, 10.0, began);
    static_cast<void>(limits.unreported(began));
    CHECK(limits.answered(member, 10.2, began + 1s) == limit_change::none);
    CHECK(limits.limit_of(member) == 10.2);
    CHECK(limits.unreported(began + 1s).empty());
    CHECK(limits.answered(member, 5.0, began + 2s) == limit_change::updated);
    CHECK(limits.unreported(began + 2s).size() == 1);
}

// Guards against a limit that was over and comes back by a message from before.
TEST_CASE("of two statements the newer counts, in whatever order they come", "[limits]")
{
    for (unsigned seed = 0; seed < 2'000; ++seed)
    {
        std::mt19937 random{seed};
        std::vector<state::stated_limit> told;
        for (int i = 0; i < 6; ++i)
        {
            auto const limit = random() % 3 == 0 ? std::nullopt : std::optional{1.0 + random() % 9};
            told.push_back({member, limit, std::chrono::milliseconds{100 * i}});
        }
        std::shuffle(told.begin(), told.end(), random);
        entry_vm vm{0, 9};
        std::optional<double> newest;
        state::duration newest_age = 1h;
        for (state::stated_limit const& each : told)
        {
            vm.limits.apply_update(each, began);
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

// Guards against an upstream that is used by nobody, as the end of its limit was missed.
TEST_CASE("a limit that nobody repeats lapses, one that peers repeat doesn't", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({member, 3.0, 0s}, began);
    vm.limits.apply_update({other, 3.0, 0s}, began);
    vm.limits.apply_update({other, 3.0, 0s}, began + 20s);
    vm.limits.sweep(began + upstream_limits::lifetime);
    CHECK_FALSE(vm.limits.limit_of(member));
    CHECK(vm.limits.limit_of(other) == 3.0);
    vm.limits.apply_update({member, 3.0, upstream_limits::lifetime}, began + 30s);
    CHECK_FALSE(vm.limits.limit_of(member));
}

TEST_CASE("a VM repeats to peers what it read itself lately", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({other, 3.0, 0s}, began);
    CHECK(vm.limits.confirmed(10, began).empty());
    vm.limits.answered(member, 3.1, began);
    REQUIRE(vm.limits.confirmed(10, began + 1s).size() == 1);
    CHECK(vm.limits.confirmed(10, began + 1s)[0].age == 1s);
    CHECK(vm.limits.confirmed(0, began + 1s).empty());
    CHECK(vm.limits.confirmed(10, began + upstream_limits::rebroadcast_time).empty());
}

TEST_CASE("a number that is none is not taken", "[limits]")
{
    entry_vm vm{0, 9};
    vm.limits.apply_update({member, std::nan(""), 0s}, began);
    vm.limits.apply_update({member, -1.0, 0s}, began);
    CHECK_FALSE(vm.limits.limit_of(member));
    vm.limits.apply_update({member, 1e300, 0s}, began);
    CHECK(vm.limits.may_send(other, began));
    CHECK(vm.limits.limit_of(member) <= 1e6);
}
