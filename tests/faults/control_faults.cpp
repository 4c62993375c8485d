#include "control_faults.hpp"

#include <algorithm>
#include <array>

namespace plumdale::faults
{

using namespace std::chrono_literals;
using namespace coordination;

bool control_scenario::accepted(std::uint64_t exchange) const
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

/// \brief Returns whether this incarnation of the member runs, not an earlier one at its address.
[[nodiscard]] bool is_running(control_scenario const& scenario, state::member const& member)
{
    auto const& nodes = scenario.loop.nodes();
    return std::any_of(nodes.begin(), nodes.end(),
                       [&member](testing::node_model const& node)
                       {
                           return node.control != nullptr && !node.paused &&
                                  node.settings.self.id == member.id &&
                                  node.settings.self.incarnation_number ==
                                      member.incarnation_number;
                       });
}

// Engines restart empty and have no order.
void engine_dies(control_scenario& scenario)
{
    scenario.checker.step(10s);
    scenario.loop.engines.clear();
}

void vm_dies(control_scenario& scenario)
{
    scenario.loop.stop(scenario.node);
}

void vm_pauses(control_scenario& scenario)
{
    scenario.loop.pause(scenario.node);
    scenario.checker.step(10s);
    scenario.loop.wake(scenario.node, scenario.random() % 2 == 0);
}

// The data in its sockets is lost, and it receives nothing for a second after it wakes.
void wakes_cut_off(control_scenario& scenario)
{
    scenario.loop.pause(scenario.node);
    scenario.checker.step(10s);
    scenario.loop.nodes()[scenario.node].buffered_events.clear();
    scenario.loop.loss = 1;
    scenario.loop.wake(scenario.node, scenario.random() % 2 == 0);
    scenario.checker.step(1s);
    scenario.loop.loss = 0;
    scenario.checker.step(5s);
}

void sleeps_through_switch(control_scenario& scenario)
{
    scenario.loop.pause(scenario.node);
    scenario.loop.platform.visible_revision = UINT64_MAX;
    scenario.loop.publish(30, switch_published{30, testing::preset_named("maintenance")});
    scenario.expected = "maintenance";
    scenario.checker.step(10s);
    scenario.loop.wake(scenario.node, false);
}

void vm_restarts_empty(control_scenario& scenario)
{
    scenario.loop.stop(scenario.node);
    scenario.checker.step(std::chrono::milliseconds{scenario.random() % 4'000});
    scenario.loop.start(scenario.node);
}

// The new process receives no datagram for a second, while the platform answers with an earlier
// revision.
void starts_cut_off(control_scenario& scenario)
{
    scenario.loop.platform.visible_revision =
        std::min<std::uint64_t>(scenario.loop.platform.visible_revision, 6);
    scenario.loop.stop(scenario.other);
    scenario.checker.step(4s);
    scenario.loop.loss = 1;
    scenario.loop.start(scenario.other);
    scenario.checker.step(1s);
    scenario.loop.loss = 0;
    scenario.checker.step(10s);
}

void address_taken(control_scenario& scenario)
{
    scenario.loop.stop(scenario.node);
    scenario.loop.start(scenario.node);
    scenario.checker.step(5s);
    // An update about the former process is still in flight.
    peer_message message;
    message.sender = scenario.loop.nodes()[scenario.other].settings.self;
    message.members = {scenario.loop.nodes()[scenario.node].settings.self};
    message.members[0].incarnation_number.value -= 1;
    message.members[0].health = state::member_health::dead;
    scenario.loop.send(0, datagram_received{scenario.loop.endpoint_of(scenario.other), message});
    scenario.checker.step(40ms);
    auto const fleet = scenario.loop.fleet(0);
    auto const* const member = fleet->find_member(scenario.loop.id_of(scenario.node));
    bool const accepted_stale_death =
        member == nullptr || member->health == state::member_health::dead;
    scenario.checker.found.members_not_alive += accepted_stale_death ? 1 : 0;
}

void link_stalls(control_scenario& scenario)
{
    scenario.checker.network_reliable = false;
    scenario.loop.loss = 1;
    scenario.checker.step(1300ms);
    scenario.loop.loss = 0;
    for (int i = 0; i < 50; ++i)
    {
        scenario.checker.step(100ms);
        for (std::size_t at = 0; at < scenario.loop.nodes().size(); ++at)
        {
            auto const fleet = scenario.loop.fleet(at);
            // A stall shorter than the time to refute a suspicion must not make a member dead.
            scenario.checker.found.members_not_alive += static_cast<std::size_t>(
                std::count_if(fleet->members.begin(), fleet->members.end(),
                              [&](state::member const& each)
                              {
                                  return scenario.loop.alive(at) && is_running(scenario, each) &&
                                         each.health == state::member_health::dead;
                              }));
        }
    }
}

void zone_cut(control_scenario& scenario)
{
    scenario.checker.network_reliable = false;
    std::size_t const cut = scenario.random() % 3;
    scenario.loop.connected = [cut](std::size_t a, std::size_t b)
    {
        return (a == cut) == (b == cut);
    };
    scenario.loop.platform.disconnected_zones = {cut};
    scenario.checker.step(20s);
}

void loses_datagrams(control_scenario& scenario)
{
    scenario.loop.loss = 0.1;
    scenario.checker.step(10s);
}

void platform_down(control_scenario& scenario)
{
    scenario.loop.platform.down = true;
    scenario.checker.step(20s);
}

// The platform returns with an earlier revision, as if restored from a backup.
void platform_stale(control_scenario& scenario)
{
    scenario.loop.platform.down = true;
    scenario.checker.step(15s);
    scenario.loop.platform.visible_revision = 6;
    scenario.loop.platform.down = false;
    scenario.loop.stop(scenario.other);
    scenario.loop.start(scenario.other);
    scenario.checker.step(15s);
}

// A revision is published just before the outage, and no node reads it.
void published_unseen(control_scenario& scenario)
{
    constexpr std::uint64_t revision = 90;
    scenario.loop.platform.down = true;
    scenario.loop.platform.published[revision] =
        switch_published{revision, testing::preset_named("ordinary")};
    scenario.checker.step(45s);
    scenario.request_switch(scenario.other, 2, "maintenance");
    scenario.checker.step(5s);
    scenario.expected = scenario.accepted(2) ? "maintenance" : "";
}

void operators_race(control_scenario& scenario)
{
    scenario.request_switch(0, 2, "maintenance");
    scenario.request_switch(4, 3, "ordinary");
    scenario.checker.step(5s);
    scenario.expected.clear();
    // A switch published at the same time may win over both; then neither is accepted.
    std::size_t const accepted = (scenario.accepted(2) ? 1 : 0) + (scenario.accepted(3) ? 1 : 0);
    std::size_t const won = scenario.loop.fleet(0)->in_force.count > 0 ? 1 : 0;
    scenario.checker.found.lost_switches += accepted == won ? 0 : 1;
}

// The VM that receives the switch reaches no peer, and dies right after its answer.
void cut_off_and_dies(control_scenario& scenario)
{
    scenario.checker.network_reliable = false;
    scenario.loop.loss = 1;
    scenario.request_switch(scenario.node, 2, "maintenance");
    scenario.checker.step(2s);
    scenario.expected = scenario.accepted(2) ? "maintenance" : "";
    scenario.loop.stop(scenario.node);
    scenario.loop.loss = 0;
}

void list_lags(control_scenario& scenario)
{
    scenario.loop.platform.list.entry_vms.push_back(scenario.loop.endpoint_of(77));
    scenario.checker.step(20s);
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
