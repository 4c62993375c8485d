#include "control_faults.hpp"

#include <algorithm>
#include <array>

namespace plumdale::faults
{

using namespace std::chrono_literals;
using namespace coordination;

bool control_scene::accepted(std::uint64_t exchange) const
{
    return std::any_of(loop.answers.begin(), loop.answers.end(),
                       [exchange](auto const& each)
                       {
                           return each.second.exchange.value == exchange &&
                                  each.second.answer.outcome == switch_outcome::accepted;
                       });
}

namespace
{

/// \brief Returns whether the process that is meant lives, not one before it at its address.
[[nodiscard]] bool runs(control_scene const& scene, state::member const& member)
{
    auto const& nodes = scene.loop.nodes();
    return std::any_of(nodes.begin(), nodes.end(),
                       [&member](testing::node_model const& node)
                       {
                           return node.control != nullptr && !node.paused &&
                                  node.settings.self.id == member.id &&
                                  node.settings.self.incarnation_number ==
                                      member.incarnation_number;
                       });
}

// Engines come back empty, and remember no order.
void engine_dies(control_scene& scene)
{
    scene.checker.step(10s);
    scene.loop.engines.clear();
}

void vm_dies(control_scene& scene)
{
    scene.loop.stop(scene.node);
}

void vm_pauses(control_scene& scene)
{
    scene.loop.pause(scene.node);
    scene.checker.step(10s);
    scene.loop.wake(scene.node, scene.random() % 2 == 0);
}

// What was in its sockets is lost, and for a second after it woke it hears nobody.
void wakes_cut_off(control_scene& scene)
{
    scene.loop.pause(scene.node);
    scene.checker.step(10s);
    scene.loop.nodes()[scene.node].buffered_events.clear();
    scene.loop.loss = 1;
    scene.loop.wake(scene.node, scene.random() % 2 == 0);
    scene.checker.step(1s);
    scene.loop.loss = 0;
    scene.checker.step(5s);
}

void sleeps_through_switch(control_scene& scene)
{
    scene.loop.pause(scene.node);
    scene.loop.platform.visible_revision = UINT64_MAX;
    scene.loop.publish(30, switch_published{30, testing::preset_named("maintenance")});
    scene.expected = "maintenance";
    scene.checker.step(10s);
    scene.loop.wake(scene.node, false);
}

void vm_restarts_empty(control_scene& scene)
{
    scene.loop.stop(scene.node);
    scene.checker.step(std::chrono::milliseconds{scene.random() % 4'000});
    scene.loop.start(scene.node);
}

// The new process hears nobody for a second, while the service answers, with what it had before.
void starts_cut_off(control_scene& scene)
{
    scene.loop.platform.visible_revision =
        std::min<std::uint64_t>(scene.loop.platform.visible_revision, 6);
    scene.loop.stop(scene.other);
    scene.checker.step(4s);
    scene.loop.loss = 1;
    scene.loop.start(scene.other);
    scene.checker.step(1s);
    scene.loop.loss = 0;
    scene.checker.step(10s);
}

void address_taken(control_scene& scene)
{
    scene.loop.stop(scene.node);
    scene.loop.start(scene.node);
    scene.checker.step(5s);
    // News of the process before is still on its way.
    peer_message message;
    message.sender = scene.loop.nodes()[scene.other].settings.self;
    message.members = {scene.loop.nodes()[scene.node].settings.self};
    message.members[0].incarnation_number.value -= 1;
    message.members[0].health = state::member_health::dead;
    scene.loop.send(0, datagram_received{scene.loop.endpoint_of(scene.other), message});
    scene.checker.step(40ms);
    auto const fleet = scene.loop.fleet(0);
    auto const* const member = fleet->find_member(scene.loop.id_of(scene.node));
    bool const fooled = member == nullptr || member->health == state::member_health::dead;
    scene.checker.found.members_not_alive += fooled ? 1 : 0;
}

void link_stalls(control_scene& scene)
{
    scene.checker.network_reliable = false;
    scene.loop.loss = 1;
    scene.checker.step(1300ms);
    scene.loop.loss = 0;
    for (int i = 0; i < 50; ++i)
    {
        scene.checker.step(100ms);
        for (std::size_t at = 0; at < scene.loop.nodes().size(); ++at)
        {
            auto const fleet = scene.loop.fleet(at);
            // A stall shorter than the time to refute kills nobody.
            scene.checker.found.members_not_alive += static_cast<std::size_t>(
                std::count_if(fleet->members.begin(), fleet->members.end(),
                              [&](state::member const& each)
                              {
                                  return scene.loop.alive(at) && runs(scene, each) &&
                                         each.health == state::member_health::dead;
                              }));
        }
    }
}

void zone_cut(control_scene& scene)
{
    scene.checker.network_reliable = false;
    std::size_t const cut = scene.random() % 3;
    scene.loop.connected = [cut](std::size_t a, std::size_t b)
    {
        return (a == cut) == (b == cut);
    };
    scene.loop.platform.disconnected_zones = {cut};
    scene.checker.step(20s);
}

void loses_datagrams(control_scene& scene)
{
    scene.loop.loss = 0.1;
    scene.checker.step(10s);
}

void platform_down(control_scene& scene)
{
    scene.loop.platform.down = true;
    scene.checker.step(20s);
}

// It comes back with the revision from before, as restored from a copy.
void platform_stale(control_scene& scene)
{
    scene.loop.platform.down = true;
    scene.checker.step(15s);
    scene.loop.platform.visible_revision = 6;
    scene.loop.platform.down = false;
    scene.loop.stop(scene.other);
    scene.loop.start(scene.other);
    scene.checker.step(15s);
}

// A revision was published just before the outage and read by nobody.
void published_unseen(control_scene& scene)
{
    constexpr std::uint64_t revision = 90;
    scene.loop.platform.down = true;
    scene.loop.platform.published[revision] =
        switch_published{revision, testing::preset_named("ordinary")};
    scene.checker.step(45s);
    scene.ask(scene.other, 2, "maintenance");
    scene.checker.step(5s);
    scene.expected = scene.accepted(2) ? "maintenance" : "";
}

void operators_race(control_scene& scene)
{
    scene.ask(0, 2, "maintenance");
    scene.ask(4, 3, "ordinary");
    scene.checker.step(5s);
    scene.expected.clear();
    // A switch published at the same moment may win over both; then both are told.
    std::size_t const accepted = (scene.accepted(2) ? 1 : 0) + (scene.accepted(3) ? 1 : 0);
    std::size_t const won = scene.loop.fleet(0)->in_force.count > 0 ? 1 : 0;
    scene.checker.found.lost_switches += accepted == won ? 0 : 1;
}

// The VM that takes the switch reaches nobody, and dies as soon as it answered.
void cut_off_and_dies(control_scene& scene)
{
    scene.checker.network_reliable = false;
    scene.loop.loss = 1;
    scene.ask(scene.node, 2, "maintenance");
    scene.checker.step(2s);
    scene.expected = scene.accepted(2) ? "maintenance" : "";
    scene.loop.stop(scene.node);
    scene.loop.loss = 0;
}

void list_lags(control_scene& scene)
{
    scene.loop.platform.list.entry_vms.push_back(scene.loop.endpoint_of(77));
    scene.checker.step(20s);
}

constexpr std::array all{
    control_fault{"engine dies", &engine_dies},
    control_fault{"entry VM dies", &vm_dies},
    control_fault{"pauses and wakes", &vm_pauses},
    control_fault{"wakes cut off", &wakes_cut_off},
    control_fault{"sleeps through a switch", &sleeps_through_switch},
    control_fault{"restarts empty", &vm_restarts_empty},
    control_fault{"starts cut off", &starts_cut_off},
    control_fault{"address taken", &address_taken},
    control_fault{"link stalls", &link_stalls},
    control_fault{"datagrams lost", &loses_datagrams},
    control_fault{"zone cut", &zone_cut},
    control_fault{"platform down", &platform_down},
    control_fault{"platform stale", &platform_stale},
    control_fault{"published unseen", &published_unseen},
    control_fault{"operators race", &operators_race},
    control_fault{"cut off and dies", &cut_off_and_dies},
    control_fault{"list lags", &list_lags},
};

} // namespace

std::span<control_fault const> control_faults()
{
    return all;
}

} // namespace plumdale::faults
