#include <plumdale/coordination/key_homes.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t nodes = 8;
constexpr std::uint64_t keys = 800;

std::vector<state::member> members_except(std::uint64_t self)
{
    std::vector<state::member> members;
    for (std::uint64_t i = 1; i <= nodes; ++i)
    {
        if (i != self)
        {
            members.push_back({{i}, {1}, {1}, 0, state::member_health::alive, {}, {}});
        }
    }
    return members;
}

void set_health(std::vector<state::member>& members, std::uint64_t node,
                state::member_health health)
{
    for (state::member& each : members)
    {
        if (each.id.value == node)
        {
            each.health = health;
        }
    }
}

key_home_settings const settings{10min, 5s, nodes};

} // namespace

TEST_CASE("members with the same view agree on every home", "[key_homes]")
{
    key_homes first{{1}, settings};
    key_homes second{{2}, settings};
    first.observe(members_except(1), state::time_point{1h});
    second.observe(members_except(2), state::time_point{1h});
    std::uint64_t own = 0;
    for (std::uint64_t i = 1; i <= keys; ++i)
    {
        CHECK(first.home_of({i}) == second.home_of({i}));
        own += first.home_of({i}).value == 1 ? 1 : 0;
    }
    CHECK(own > keys / nodes / 2);
    CHECK(own < keys / nodes * 2);
}

// A first attempt ran at its key's home, which then died, and the repeat arrives at the next VM in
// order. That VM takes over the key only after the delay and does not know its earlier attempts: it
// may run first attempts and has to refuse the repeat.
TEST_CASE("keys of a dead home are taken over late, with unknown earlier attempts", "[key_homes]")
{
    key_homes homes{{1}, settings};
    auto members = members_except(1);
    homes.observe(members, state::time_point{1h});
    set_health(members, 2, state::member_health::dead);
    homes.observe(members, state::time_point{1h + 1s});
    std::vector<state::idempotency_key_id> lost;
    for (std::uint64_t i = 1; i <= keys; ++i)
    {
        if (homes.home_of({i}).value == 2)
        {
            lost.push_back({i});
        }
    }
    REQUIRE_FALSE(lost.empty());
    homes.observe(members, state::time_point{1h + 6s});
    for (state::idempotency_key_id const key : lost)
    {
        CHECK(homes.home_of(key).value != 2);
        CHECK_FALSE(homes.home_throughout_window(key));
    }
}

// A zone with two of eight VMs is partitioned off, and both sides see the others as dead. If each
// side took over the other's keys, a first attempt on one side and its repeat on the other would
// both run. The minority takes over none, and detects that it is the minority.
TEST_CASE("the minority side of a partition takes over no keys", "[key_homes]")
{
    key_homes homes{{1}, settings};
    auto members = members_except(1);
    homes.observe(members, state::time_point{1h});
    std::vector<state::node_id> before;
    for (std::uint64_t i = 1; i <= keys; ++i)
    {
        before.push_back(homes.home_of({i}));
    }
    for (std::uint64_t node = 3; node <= nodes; ++node)
    {
        set_health(members, node, state::member_health::dead);
    }
    homes.observe(members, state::time_point{1h + 1s});
    homes.observe(members, state::time_point{3h});
    CHECK_FALSE(homes.in_majority());
    for (std::uint64_t i = 1; i <= keys; ++i)
    {
        CHECK(homes.home_of({i}) == before[i - 1]);
    }
}

TEST_CASE("a VM that knows fewer members than its settings name lacks a majority", "[key_homes]")
{
    key_homes homes{{1}, settings};
    homes.observe({}, state::time_point{1h});
    CHECK_FALSE(homes.knows_all_nodes());
    CHECK_FALSE(homes.in_majority());
    homes.observe(members_except(1), state::time_point{1h});
    CHECK(homes.knows_all_nodes());
    CHECK(homes.in_majority());
}

// A VM is partitioned off for so long that the others no longer list it. It still runs first
// attempts for one window, and these may be repeated for another: until then, earlier attempts of
// its keys are unknown.
TEST_CASE("a member that is no longer listed counts for two windows", "[key_homes]")
{
    key_homes homes{{1}, settings};
    auto members = members_except(1);
    homes.observe(members, state::time_point{1h});
    std::uint64_t key = 1;
    while (homes.home_of({key}).value != 2)
    {
        ++key;
    }
    std::erase_if(members, [](state::member const& each) { return each.id.value == 2; });
    homes.observe(members, state::time_point{2h});
    homes.observe(members, state::time_point{2h + 19min});
    CHECK_FALSE(homes.home_throughout_window({key}));
    homes.observe(members, state::time_point{2h + 21min});
    CHECK(homes.home_throughout_window({key}) == (homes.home_of({key}).value == 1));
}
