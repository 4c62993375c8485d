#include <plumdale/coordination/evacuation_orders.hpp>
#include <plumdale/coordination/service_directory.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point now{10s};
constexpr auto east = state::id_from_name<state::zone_id>("east");
constexpr auto west = state::id_from_name<state::zone_id>("west");

state::service_member upstream(std::string const& name, std::string const& zone)
{
    state::service_member member;
    member.name = name;
    member.service = "lists";
    member.zone = zone;
    member.slots = 24;
    member.revision = 1;
    return member;
}

} // namespace

// Guards against work that is sent to a zone although its evacuation order was received.
TEST_CASE("upstreams of an evacuated zone take no work until the order is revoked",
          "[evacuation_orders]")
{
    service_directory directory;
    directory.merge(upstream("i-1", "east"), now);
    directory.merge(upstream("i-2", "west"), now);
    auto const takes_work = [&directory](std::string_view name)
    {
        return directory.may_take_work(*directory.find(state::key_of(name, {})), now);
    };
    directory.evacuations().merge({7, {{east, 7}}}, now);
    CHECK_FALSE(takes_work("i-1"));
    CHECK(takes_work("i-2"));
    CHECK_FALSE(directory.is_wholly_evacuated("lists", now));
    directory.evacuations().merge({9, {}}, now);
    CHECK(takes_work("i-1"));
    CHECK(directory.evacuations().ended_at(east) == now);
}

// Guards against queueing a caller until its timeout although no upstream will become available.
TEST_CASE("a service is wholly evacuated if all its zones are", "[evacuation_orders]")
{
    service_directory directory;
    directory.evacuations().merge({7, {{east, 6}, {west, 7}}}, now);
    CHECK_FALSE(directory.is_wholly_evacuated("lists", now));
    directory.merge(upstream("i-1", "east"), now);
    directory.merge(upstream("i-2", "west"), now);
    CHECK(directory.is_wholly_evacuated("lists", now));
    state::service_member leaving = upstream("i-2", "west");
    leaving.leaving = true;
    directory.merge(leaving, now);
    CHECK(directory.is_wholly_evacuated("lists", now));
    leaving = upstream("i-1", "east");
    leaving.leaving = true;
    directory.merge(leaving, now);
    CHECK_FALSE(directory.is_wholly_evacuated("lists", now));
}

// A VM is partitioned while an order is revoked and while the store drops the revocation from its
// history. If the VM's message restored the order, the zone would stay empty for good.
TEST_CASE("a revoked order is never restored by an old message", "[evacuation_orders]")
{
    evacuation_orders partitioned;
    partitioned.merge({5, {{east, 5}}}, now);
    evacuation_orders others;
    others.merge({8, {}}, now);
    CHECK(others.merge(partitioned.known(), now).empty());
    CHECK_FALSE(others.covers(east));
    REQUIRE(partitioned.merge(others.known(), now).size() == 1);
    CHECK_FALSE(partitioned.covers(east));
}

// A peer reports a change and later ones; then the watch reports the change again.
TEST_CASE("a watch that is behind a peer's report undoes nothing", "[evacuation_orders]")
{
    evacuation_orders orders;
    orders.merge({20, {{east, 20}}}, now);
    std::array const late{state::evacuation_change{{east, 12}, false},
                          state::evacuation_change{{east, 15}, true}};
    CHECK(orders.apply_changes(late, 18, now).empty());
    CHECK(orders.covers(east));
    CHECK(orders.apply_changes(late, 21, now).empty());
    CHECK(orders.covers(east));
    CHECK(orders.known().as_of == 21);
}

TEST_CASE("an order that was revoked and given again is in force", "[evacuation_orders]")
{
    evacuation_orders orders;
    std::array const first{state::evacuation_change{{east, 2}, false}};
    REQUIRE(orders.apply_changes(first, 2, now).size() == 1);
    std::array const again{state::evacuation_change{{east, 3}, true},
                           state::evacuation_change{{west, 4}, false},
                           state::evacuation_change{{east, 5}, false}};
    auto const changes = orders.apply_changes(again, 6, now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().order.zone == west);
    CHECK(orders.covers(east));
    CHECK(orders.known().in_force == std::vector<state::evacuation>{{west, 4}, {east, 5}});
}

// Guards against VMs that send work to different zones for good, as they received the same messages
// in different orders, some of them twice or not at all.
TEST_CASE("sets received in any order merge to the newest", "[evacuation_orders]")
{
    for (unsigned seed = 0; seed < 10'000; ++seed)
    {
        std::minstd_rand random{seed + 1};
        std::vector<state::evacuations> sent{{1, {}}};
        for (std::uint64_t revision = 2; revision < 9; ++revision)
        {
            state::evacuations next = sent.back();
            next.as_of = revision;
            state::zone_id const zone = random() % 2 == 0 ? east : west;
            auto const former = std::erase_if(next.in_force, [zone](state::evacuation const& each)
                                              { return each.zone == zone; });
            if (former == 0)
            {
                next.in_force.push_back({zone, revision});
            }
            sent.push_back(next);
        }
        std::vector<state::evacuations> received = sent;
        std::shuffle(received.begin(), received.end(), random);
        evacuation_orders orders;
        for (state::evacuations const& each : received)
        {
            orders.merge(each, now);
        }
        REQUIRE(orders.known().in_force == sent.back().in_force);
    }
}
