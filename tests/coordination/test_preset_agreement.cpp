#include "coordination/fleet_values.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

constexpr state::duration warm_up = 8s;

/// \brief Returns whether every running node has this preset in force.
[[nodiscard]] bool in_force_everywhere(fleet_loop& loop, std::string const& preset)
{
    for (std::size_t i = 0; i < loop.nodes().size(); ++i)
    {
        if (loop.alive(i) && loop.fleet(i)->in_force.preset != preset_named(preset))
        {
            return false;
        }
    }
    return true;
}

[[nodiscard]] bool ready_everywhere(fleet_loop& loop)
{
    for (std::size_t i = 0; i < loop.nodes().size(); ++i)
    {
        if (loop.alive(i) && !loop.fleet(i)->ready)
        {
            return false;
        }
    }
    return true;
}

void switch_at(fleet_loop& loop, std::size_t node, std::uint8_t operator_number,
               std::string const& preset, std::uint64_t over = 0)
{
    loop.send(node,
              operator_switch{
                  {operator_number}, operator_key(operator_number), preset_named(preset), over});
}

[[nodiscard]] switch_answer const* answer_to(fleet_loop const& loop, std::uint8_t operator_number)
{
    for (auto const& [node, action] : loop.answers)
    {
        if (action.exchange.value == operator_number)
        {
            return &action.answer;
        }
    }
    return nullptr;
}

[[nodiscard]] node_settings without(safeguard which)
{
    node_settings settings;
    settings.safeguards = settings.safeguards.without(which);
    return settings;
}

/// \brief Publishes `ordinary` and lets the fleet settle.
[[nodiscard]] std::unique_ptr<fleet_loop> settled_fleet(std::uint64_t seed,
                                                        node_settings const& settings = {})
{
    auto loop = std::make_unique<fleet_loop>(9, 3, seed, settings);
    publish_base_configuration(*loop);
    loop->run_for(warm_up);
    return loop;
}

} // namespace

TEST_CASE("a published switch is in force at every node within two seconds", "[preset_agreement]")
{
    auto loop = settled_fleet(1);
    REQUIRE(ready_everywhere(*loop));
    loop->publish(7, switch_published{7, preset_named("peak")});
    CHECK(loop->run_until(loop->now() + 2s, [&] { return in_force_everywhere(*loop, "peak"); }));
}

TEST_CASE("only some entry VMs of a zone watch the service", "[preset_agreement]")
{
    node_settings settings;
    settings.readers_per_zone = 1;
    fleet_loop loop{12, 3, 2, settings};
    publish_base_configuration(loop);
    loop.run_for(warm_up);
    loop.platform.disconnected_zones = {0, 1};
    loop.publish(7, switch_published{7, preset_named("peak")});
    CHECK(loop.run_until(loop.now() + 2s, [&] { return in_force_everywhere(loop, "peak"); }));
}

// Guards against a switch that is undone when the service returns with an older revision after an
// outage. A reader that took its last read would end the peak preset in mid peak; joined by
// maximum, the older revision has no effect at any node.
TEST_CASE("a service that returns with an older revision does not undo a switch",
          "[preset_agreement]")
{
    auto const stays = [](node_settings const& settings)
    {
        auto loop = settled_fleet(3, settings);
        loop->platform.down = true;
        loop->run_for(6s);
        switch_at(*loop, 4, 1, "peak");
        loop->run_for(4s);
        bool const was_applied = in_force_everywhere(*loop, "peak");
        loop->platform.published[5] = loop->platform.published[6];
        loop->platform.published.erase(6);
        std::get<switch_published>(loop->platform.published[5]).revision = 5;
        loop->platform.down = false;
        loop->stop(8);
        loop->start(8);
        loop->run_for(30s);
        return was_applied && in_force_everywhere(*loop, "peak");
    };
    CHECK(stays({}));
    CHECK_FALSE(stays(without(safeguard::stamp_join)));
}

// Guards against a new process that serves the previous preset: an entry VM is replaced while the
// service is stale and lacks an operator's switch. The process waits for peers that serve instead
// of relying on the service alone.
TEST_CASE("a restarted node serves only after it has caught up", "[preset_agreement]")
{
    auto const served_old = [](node_settings const& settings, std::uint64_t seed)
    {
        auto loop = settled_fleet(seed, settings);
        switch_at(*loop, 4, 1, "peak");
        loop->run_for(2s);
        loop->stop(7);
        loop->run_for(2s);
        loop->start(7);
        return loop->run_until(loop->now() + 10s,
                               [&]
                               {
                                   auto const fleet = loop->fleet(7);
                                   return fleet->ready &&
                                          fleet->in_force.preset == preset_named("ordinary");
                               });
    };
    // Whether the service or a peer answers first depends on the seed.
    int served_old_unguarded = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CHECK_FALSE(served_old({}, seed));
        served_old_unguarded += served_old(without(safeguard::catch_up), seed) ? 1 : 0;
    }
    CHECK(served_old_unguarded > 0);
}

TEST_CASE("a restarted node is ready within five seconds, even with the service down",
          "[preset_agreement]")
{
    auto loop = settled_fleet(5);
    loop->platform.down = true;
    loop->stop(2);
    loop->run_for(5s);
    loop->start(2);
    CHECK(loop->run_until(loop->now() + 5s, [&] { return loop->fleet(2)->ready; }));
    CHECK(loop->fleet(2)->in_force.preset == preset_named("ordinary"));
    CHECK_FALSE(loop->fleet(2)->customers.empty());
}

TEST_CASE("a single entry VM serves what the service publishes", "[preset_agreement]")
{
    fleet_loop loop{1, 1, 6};
    publish_base_configuration(loop);
    CHECK(loop.run_until(start_time + 5s, [&] { return loop.fleet(0)->ready; }));
}

// Guards against an accepted switch that is lost: the only VM that holds it fails right after the
// operator's answer, and the fleet stays on the old preset. A switch is accepted only once other
// VMs hold it.
TEST_CASE("an accepted switch survives the loss of the VM that took it", "[preset_agreement]")
{
    auto const survives = [](node_settings settings)
    {
        settings.switch_settle = 0s;
        auto loop = settled_fleet(7, settings);
        loop->platform.down = true;
        loop->connected = [](std::size_t a, std::size_t b)
        {
            return a == b && a != 1;
        };
        switch_at(*loop, 4, 1, "peak");
        bool const accepted =
            loop->run_until(loop->now() + 6s, [&] { return !loop->answers.empty(); }) &&
            answer_to(*loop, 1)->outcome == switch_outcome::accepted;
        loop->stop(4);
        loop->connected = [](std::size_t, std::size_t)
        {
            return true;
        };
        loop->run_for(8s);
        return !accepted || in_force_everywhere(*loop, "peak");
    };
    CHECK(survives({}));
    CHECK_FALSE(survives(without(safeguard::acceptance_count)));
}

// Two operators switch at two VMs within a millisecond. Each node joins both stamps, so the same
// one is in force everywhere. Guards against an answer that reports the other as in force.
TEST_CASE("of two concurrent switches one is in force everywhere and the other is superseded",
          "[preset_agreement]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        auto loop = settled_fleet(seed);
        loop->platform.down = true;
        switch_at(*loop, 0, 1, "peak");
        switch_at(*loop, 5, 2, "maintenance");
        loop->run_for(3s);
        REQUIRE(loop->answers.size() == 2);
        CHECK(answer_to(*loop, 1)->outcome == switch_outcome::superseded);
        CHECK(answer_to(*loop, 2)->outcome == switch_outcome::accepted);
        CHECK(in_force_everywhere(*loop, "maintenance"));
    }
}

// Guards against lasting disagreement when both sides of a partition switch. Each side serves its
// own preset, as it can't know of the other; once the partition heals, one of the two is in force
// everywhere.
TEST_CASE("two partitions that switched agree once the partition heals", "[preset_agreement]")
{
    auto loop = settled_fleet(8);
    loop->connected = [](std::size_t a, std::size_t b)
    {
        return (a == 0) == (b == 0);
    };
    loop->platform.down = true;
    loop->run_for(8s);
    switch_at(*loop, 0, 1, "peak");
    switch_at(*loop, 1, 2, "maintenance");
    loop->run_for(6s);
    REQUIRE(answer_to(*loop, 1) != nullptr);
    CHECK(answer_to(*loop, 1)->outcome == switch_outcome::accepted);
    CHECK(answer_to(*loop, 1)->zones_missing.size() == 2);
    CHECK(loop->fleet(0)->in_force.preset == preset_named("peak"));
    CHECK(loop->fleet(1)->in_force.preset == preset_named("maintenance"));
    loop->connected = [](std::size_t, std::size_t)
    {
        return true;
    };
    CHECK(loop->run_until(loop->now() + 30s,
                          [&] { return in_force_everywhere(*loop, "maintenance"); }));
}

// Guards against a revision that undoes a later switch: it was published, but the service went down
// before any VM read it; then an operator's switch was accepted. When the service is back, the
// unread revision is greater but was decided earlier. Only what is published later may replace the
// switch.
TEST_CASE("a revision published unseen before an outage does not undo the switch in it",
          "[preset_agreement]")
{
    auto const stays = [](node_settings const& settings)
    {
        auto loop = settled_fleet(9, settings);
        loop->platform.down = true;
        loop->platform.published[7] = switch_published{7, preset_named("maintenance")};
        loop->run_for(40s);
        switch_at(*loop, 4, 1, "peak");
        loop->run_for(4s);
        loop->platform.down = false;
        loop->run_for(30s);
        bool const stayed = in_force_everywhere(*loop, "peak");
        loop->publish(8, switch_published{8, preset_named("ordinary")});
        loop->run_for(3s);
        CHECK(in_force_everywhere(*loop, "ordinary"));
        return stayed;
    };
    CHECK(stays({}));
    CHECK_FALSE(stays(without(safeguard::outage_switch)));
}

TEST_CASE("an operator may name the published revision that a switch overrides",
          "[preset_agreement]")
{
    auto loop = settled_fleet(10);
    loop->platform.visible_revision = 6;
    loop->publish(7, switch_published{7, preset_named("maintenance")});
    switch_at(*loop, 4, 1, "peak", 7);
    loop->run_for(4s);
    loop->platform.visible_revision = UINT64_MAX;
    loop->notify_watchers();
    loop->run_for(30s);
    CHECK(in_force_everywhere(*loop, "peak"));
}

TEST_CASE("a switch by an unknown operator or to an unknown preset changes nothing",
          "[preset_agreement]")
{
    auto loop = settled_fleet(11);
    switch_at(*loop, 0, 9, "peak");
    switch_at(*loop, 1, 1, "unheard of");
    loop->run_for(1s);
    CHECK(answer_to(*loop, 9)->outcome == switch_outcome::not_allowed);
    CHECK(answer_to(*loop, 1)->outcome == switch_outcome::unknown_preset);
    CHECK(in_force_everywhere(*loop, "ordinary"));
}

// Guards against a process that is paused during a switch and resumes with the old preset in
// memory: it must neither spread the old preset nor serve new requests under it.
TEST_CASE("a node that was paused during a switch serves nothing under the old preset",
          "[preset_agreement]")
{
    auto const served_old = [](node_settings const& settings, bool pause_reported)
    {
        auto loop = settled_fleet(12, settings);
        loop->pause(5);
        loop->run_for(2s);
        loop->publish(7, switch_published{7, preset_named("peak")});
        loop->run_for(20s);
        loop->nodes()[5].buffered_events.clear();
        loop->wake(5, pause_reported);
        bool const old = loop->run_until(
            loop->now() + 5s,
            [&]
            {
                auto const fleet = loop->fleet(5);
                bool const newest = fleet->in_force.preset == preset_named("peak");
                return fleet->ready && !newest && loop->now() > start_time + warm_up + 22s;
            });
        loop->run_for(3s);
        CHECK(in_force_everywhere(*loop, "peak"));
        return old;
    };
    for (bool const pause_reported : {true, false})
    {
        CHECK_FALSE(served_old({}, pause_reported));
        CHECK(served_old(without(safeguard::pause_recheck), pause_reported));
    }
}
