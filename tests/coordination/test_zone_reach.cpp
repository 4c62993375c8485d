#include <plumdale/coordination/zone_reach.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::zone_id own{1};
constexpr state::zone_id other{2};

state::member_key upstream(std::uint64_t number)
{
    return {number};
}

state::time_point at(state::duration time)
{
    return state::time_point{} + 1h + time;
}

} // namespace

// Guards against calls that try one upstream after another of a zone that drops their packets.
TEST_CASE("a zone whose connections stay silent is cut within 300 ms", "[zone_reach]")
{
    zone_reach zones{own};
    zones.connected(other, at(0ms));
    zones.advance(at(0ms));
    zones.connecting(other, upstream(1), at(10ms));
    CHECK(zones.take_due_probes(81, at(50ms)).empty());
    auto const probes = zones.take_due_probes(81, at(70ms));
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].count == zone_reach::probes_in_doubt);
    for (std::uint64_t i = 2; i < 2 + probes[0].count; ++i)
    {
        zones.connecting(other, upstream(i), at(70ms));
    }
    CHECK_FALSE(zones.is_cut(other, at(200ms)));
    CHECK(zones.is_cut(other, at(300ms)));
    zones.connected(other, at(310ms));
    CHECK_FALSE(zones.is_cut(other, at(310ms)));
}

// Guards against the same where connections are reset.
TEST_CASE("a zone that resets all connections is cut once probes had time to answer",
          "[zone_reach]")
{
    zone_reach zones{own};
    for (std::uint64_t i = 1; i <= zone_reach::min_failed; ++i)
    {
        zones.connection_failed(other, upstream(i), at(1ms * i));
    }
    CHECK_FALSE(zones.is_cut(other, at(4ms)));
    CHECK(zones.is_cut(other, at(1ms + zone_reach::doubt_time)));
    CHECK_FALSE(zones.is_cut(own, at(1ms + zone_reach::doubt_time)));
}

// Guards against one upstream that hangs, or is gone, which is taken for its zone.
TEST_CASE("one upstream, tried again and again, is no cut", "[zone_reach]")
{
    zone_reach zones{own};
    for (int i = 0; i < 100; ++i)
    {
        zones.connection_failed(other, upstream(1), at(10ms * i));
        zones.connecting(other, upstream(1), at(10ms * i));
        CHECK_FALSE(zones.is_cut(other, at(10ms * i + 5ms)));
    }
    CHECK(zones.unreported(at(1s)).empty());
}

// Guards against a sixth of a zone's upstreams that is gone and taken for a cut.
TEST_CASE("an answer between failures ends the doubt", "[zone_reach]")
{
    zone_reach zones{own};
    for (std::uint64_t i = 1; i <= 30; ++i)
    {
        zones.connection_failed(other, upstream(i), at(20ms * i));
        CHECK_FALSE(zones.is_cut(other, at(20ms * i)));
        if (i % 2 == 0)
        {
            zones.connected(other, at(20ms * i + 5ms));
        }
    }
}

// Guards against VMs of one zone that each find the same cut by themselves.
TEST_CASE("VMs of one zone share a cut and its end", "[zone_reach]")
{
    zone_reach first{own};
    zone_reach second{own};
    zone_reach stranger{state::zone_id{3}};
    first.connection_failed(other, upstream(1), at(0ms));
    first.connection_failed(other, upstream(2), at(1ms));
    auto const rows = first.unreported(at(60ms));
    REQUIRE(rows.size() == 1);
    CHECK(first.unreported(at(70ms)).empty());
    second.apply_update(state::node_id{9}, own, rows, at(61ms));
    stranger.apply_update(state::node_id{9}, own, rows, at(61ms));
    CHECK_FALSE(second.is_cut(other, at(62ms)));
    second.connection_failed(other, upstream(7), at(63ms));
    stranger.connection_failed(other, upstream(7), at(63ms));
    CHECK(second.is_cut(other, at(64ms)));
    CHECK_FALSE(stranger.is_cut(other, at(64ms)));
    // One answer to the first VM opens the zone for the second.
    second.connection_failed(other, upstream(8), at(499ms));
    CHECK(second.is_cut(other, at(499ms)));
    first.connected(other, at(500ms));
    auto const end = first.unreported(at(500ms));
    REQUIRE(end.size() == 1);
    CHECK(end[0].is_reached);
    second.apply_update(state::node_id{9}, own, end, at(501ms));
    CHECK_FALSE(second.is_cut(other, at(502ms)));
}

// Guards against a VM with lost paths that has its whole zone avoid another.
TEST_CASE("a VM that reached a zone since contradicts a peer", "[zone_reach]")
{
    zone_reach zones{own};
    zone_reach_row const cut{other, false, {}};
    zones.apply_update(state::node_id{9}, own, std::array{cut}, at(0ms));
    CHECK_FALSE(zones.is_cut(other, at(1ms)));
    zones.connected(other, at(10ms));
    zones.connection_failed(other, upstream(1), at(20ms));
    CHECK_FALSE(zones.is_cut(other, at(21ms)));
    auto const rows = zones.unreported(at(50ms));
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].is_reached);
}

// Guards against a cut that is forgotten as the connections that showed it time out together: the
// first failure that counts is then younger than the time that probes have to answer.
TEST_CASE("a cut lasts while its connections time out", "[zone_reach]")
{
    constexpr state::duration timeout = 350ms;
    zone_reach zones{own};
    // A call's connection, and the probes of all three upstreams that it raises.
    zones.connecting(other, upstream(1), at(0ms));
    for (std::uint64_t i = 1; i <= zone_reach::min_failed; ++i)
    {
        zones.connecting(other, upstream(i), at(50ms));
    }
    auto const fail = [&](std::uint64_t number, state::duration when)
    {
        zones.connecting_ended(other, upstream(number));
        zones.connection_failed(other, upstream(number), at(when));
    };
    std::size_t changes = 0;
    for (state::duration now = 200ms; now < 2s; now += 1ms)
    {
        if (now == timeout)
        {
            fail(1, now);
        }
        for (std::uint64_t i = 1; now == 50ms + timeout && i <= zone_reach::min_failed; ++i)
        {
            fail(i, now);
        }
        CAPTURE(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
        changes += zones.take_changes(at(now)).size();
        CHECK(zones.is_cut(other, at(now)));
    }
    CHECK(changes == 1);
}

// Guards against a pause of the process that makes its open connections look silent.
TEST_CASE("connections begin anew after a pause of the process", "[zone_reach]")
{
    zone_reach zones{own};
    zones.advance(at(0ms));
    for (std::uint64_t i = 1; i <= zone_reach::min_failed; ++i)
    {
        zones.connecting(other, upstream(i), at(10ms));
    }
    zones.advance(at(2s));
    CHECK_FALSE(zones.is_cut(other, at(2s)));
    CHECK(zones.is_cut(other, at(2s + zone_reach::silence_time)));
}

// Guards against a pause of the process after which calls try the upstreams of a zone that was
// known to be cut.
TEST_CASE("a cut lasts through a pause of the process", "[zone_reach]")
{
    zone_reach zones{own};
    zones.advance(at(0ms));
    for (std::uint64_t i = 1; i <= zone_reach::min_failed; ++i)
    {
        zones.connecting(other, upstream(i), at(10ms));
    }
    for (state::duration now = 50ms; now <= 200ms; now += 50ms)
    {
        zones.advance(at(now));
        REQUIRE(zones.take_changes(at(now)).size() == (now == 200ms ? 1 : 0));
    }
    zones.advance(at(2s));
    CHECK(zones.take_changes(at(2s)).empty());
    CHECK(zones.is_cut(other, at(2s)));
    zones.connected(other, at(2s + 1ms));
    CHECK_FALSE(zones.is_cut(other, at(2s + 1ms)));
}
