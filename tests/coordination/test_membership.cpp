#include "coordination/fleet_values.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

[[nodiscard]] state::member_health health_at(fleet_loop const& loop, std::size_t node,
                                             std::size_t subject)
{
    auto const fleet = loop.fleet(node);
    state::member const* const member = fleet->find_member(fleet_loop::id_of(subject));
    return member == nullptr ? state::member_health::dead : member->health;
}

[[nodiscard]] bool all_see(fleet_loop& loop, std::size_t subject, state::member_health health)
{
    for (std::size_t i = 0; i < loop.nodes().size(); ++i)
    {
        if (i != subject && loop.alive(i) && health_at(loop, i, subject) != health)
        {
            return false;
        }
    }
    return true;
}

[[nodiscard]] bool all_alive_everywhere(fleet_loop& loop)
{
    for (std::size_t i = 0; i < loop.nodes().size(); ++i)
    {
        if (loop.alive(i) && !all_see(loop, i, state::member_health::alive))
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("entry VMs find each other through seeds", "[membership]")
{
    fleet_loop loop{27, 3, 1};
    publish_base_configuration(loop);
    CHECK(loop.run_until(start_time + 5s, [&] { return all_alive_everywhere(loop); }));
}

TEST_CASE("a dead entry VM is known to all within five seconds", "[membership]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fleet_loop loop{9, 3, seed};
        publish_base_configuration(loop);
        loop.run_for(10s);
        loop.stop(seed % 9);
        bool const known = loop.run_until(
            loop.now() + 5s, [&] { return all_see(loop, seed % 9, state::member_health::dead); });
        CHECK(known);
    }
}

// Guards against a false death after a pause: a node receives a suspicion and is paused while the
// member refutes it. When the node resumes, the suspicion has expired by the clock, so the node
// restarts it instead of declaring the member dead. Peers that declared the paused node dead accept
// it again.
TEST_CASE("a node that was paused declares no member dead and is accepted again", "[membership]")
{
    auto const declared_dead = [](node_settings const& settings, std::uint64_t seed)
    {
        fleet_loop loop{9, 3, seed, settings};
        publish_base_configuration(loop);
        loop.run_for(12s + seed * 37ms);
        peer_message message;
        message.sender = loop.nodes()[3].settings.self;
        message.members = {loop.nodes()[7].settings.self};
        message.members[0].refutation = 1;
        message.members[0].health = state::member_health::suspect;
        loop.send(4, datagram_received{fleet_loop::endpoint_of(3), message});
        loop.run_until(loop.now() + 1s,
                       [&] { return health_at(loop, 4, 7) == state::member_health::suspect; });
        loop.pause(4);
        loop.run_for(10s);
        CHECK(all_see(loop, 4, state::member_health::dead));
        loop.nodes()[4].buffered_events.clear();
        loop.wake(4, false);
        bool const dead = loop.run_until(
            loop.now() + 2s, [&] { return health_at(loop, 4, 7) == state::member_health::dead; });
        CHECK(loop.run_until(loop.now() + 5s, [&] { return all_alive_everywhere(loop); }));
        CHECK(loop.fleet(4)->presumed_dead_at > start_time + 20s);
        return dead;
    };
    node_settings off;
    off.safeguards = off.safeguards.without(safeguard::pause_recheck);
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CHECK_FALSE(declared_dead({}, seed));
        CHECK(declared_dead(off, seed));
    }
}

// Guards against live members declared dead when all datagrams are lost for two rounds: their keys
// and their share of the work would move needlessly. A member that is only suspected can refute.
TEST_CASE("a member that is wrongly suspected refutes", "[membership]")
{
    auto const declared_dead = [](node_settings const& settings)
    {
        fleet_loop loop{9, 3, 3, settings};
        publish_base_configuration(loop);
        loop.run_for(12s);
        bool dead = false;
        loop.connected = [](std::size_t, std::size_t)
        {
            return false;
        };
        loop.run_for(1400ms);
        loop.connected = [](std::size_t, std::size_t)
        {
            return true;
        };
        for (int i = 0; i < 50; ++i)
        {
            loop.run_for(100ms);
            for (std::size_t subject = 0; subject < 9; ++subject)
            {
                dead = dead || all_see(loop, subject, state::member_health::dead) ||
                       health_at(loop, (subject + 1) % 9, subject) == state::member_health::dead;
            }
        }
        CHECK(loop.run_until(loop.now() + 10s, [&] { return all_alive_everywhere(loop); }));
        return dead;
    };
    CHECK_FALSE(declared_dead({}));
    node_settings off;
    off.safeguards = off.safeguards.without(safeguard::suspicion);
    CHECK(declared_dead(off));
}

// Guards against delayed updates about a process that was replaced at the same address: applied,
// they would make peers send to a process that no longer exists.
TEST_CASE("state of an older incarnation does not replace that of a newer one", "[membership]")
{
    auto const is_replaced = [](node_settings const& settings)
    {
        fleet_loop loop{9, 3, 4, settings};
        publish_base_configuration(loop);
        loop.run_for(12s);
        state::member old = loop.nodes()[2].settings.self;
        loop.stop(2);
        loop.start(2);
        loop.run_for(5s);
        state::incarnation const newest = loop.nodes()[2].settings.self.incarnation_number;
        peer_message message;
        message.sender = loop.nodes()[3].settings.self;
        old.health = state::member_health::dead;
        message.members = {old};
        loop.send(5, datagram_received{fleet_loop::endpoint_of(3), message});
        bool replaced = false;
        loop.run_until(loop.now() + 1s,
                       [&]
                       {
                           auto const fleet = loop.fleet(5);
                           auto const* const member = fleet->find_member(fleet_loop::id_of(2));
                           replaced = replaced || member == nullptr ||
                                      member->incarnation_number != newest;
                           return replaced;
                       });
        return replaced;
    };
    CHECK_FALSE(is_replaced({}));
    node_settings off;
    off.safeguards = off.safeguards.without(safeguard::member_incarnation);
    CHECK(is_replaced(off));
}

// Guards against two processes that answer for the same identity: a process is paused, the platform
// assigns its address to a new VM, and the process resumes. It learns of its replacement from any
// peer, reports it, and accepts no new work.
TEST_CASE("a process whose address was taken stops taking work", "[membership]")
{
    fleet_loop loop{9, 3, 5};
    publish_base_configuration(loop);
    loop.run_for(12s);
    REQUIRE(loop.fleet(6)->ready);
    peer_message message;
    message.sender = loop.nodes()[3].settings.self;
    message.members = {loop.nodes()[6].settings.self};
    message.members[0].incarnation_number.value += 1'000;
    loop.send(5, datagram_received{fleet_loop::endpoint_of(3), message});
    CHECK(loop.run_until(
        loop.now() + 5s,
        [&] { return static_cast<bool>(loop.nodes()[6].replaced_by) && !loop.fleet(6)->ready; }));
}

// Guards against a platform list that contains VMs that no longer exist and lacks some live ones:
// the former must not become members, and the latter must remain members.
TEST_CASE("a list that lags adds no member and loses none", "[membership]")
{
    node_settings settings;
    fleet_loop loop{9, 3, 6, settings};
    for (std::size_t i = 20; i < 40; ++i)
    {
        loop.platform.list.entry_vms.push_back(fleet_loop::endpoint_of(i));
    }
    publish_base_configuration(loop);
    loop.run_for(20s);
    CHECK(all_alive_everywhere(loop));
    CHECK(loop.fleet(0)->members.size() == 8);
}

TEST_CASE("partitions that declared each other dead merge again", "[membership]")
{
    fleet_loop loop{9, 3, 7};
    publish_base_configuration(loop);
    loop.run_for(12s);
    loop.connected = [](std::size_t a, std::size_t b)
    {
        return (a == 0) == (b == 0);
    };
    loop.run_for(60s);
    CHECK(health_at(loop, 1, 0) == state::member_health::dead);
    CHECK(health_at(loop, 3, 0) == state::member_health::alive);
    loop.connected = [](std::size_t, std::size_t)
    {
        return true;
    };
    CHECK(loop.run_until(loop.now() + 30s, [&] { return all_alive_everywhere(loop); }));
}
