#include "cell.hpp"
#include "control_faults.hpp"

#include <plumdale/protocol/peer_codec.hpp>

#include <array>
#include <utility>

namespace plumdale::faults
{
namespace
{

using namespace std::chrono_literals;
using namespace coordination;
using testing::preset_named;

constexpr std::size_t node_count = 6;
constexpr std::size_t zone_count = 3;
constexpr std::uint64_t engine_count = 4;
constexpr state::duration settling_time = 9s;

/// \brief One row of the matrix: `reach` brings the fleet to the step and returns during it.
struct control_step
{
    std::string_view name;
    void (*reach)(control_scenario&);
};

// -- steps -------------------------------------------------------------------------------------

[[nodiscard]] state::duration random_duration(control_scenario& scenario, state::duration longest)
{
    auto const most = static_cast<std::uint64_t>(longest.count());
    return state::duration{static_cast<state::duration::rep>(scenario.random() % most)};
}

void publish_switch(control_scenario& scenario)
{
    scenario.loop.publish(20, switch_published{20, preset_named("peak")});
    scenario.expected = "peak";
}

void preset_read(control_scenario& scenario)
{
    publish_switch(scenario);
    scenario.checker.step(random_duration(scenario, 3ms));
}

void preset_spread(control_scenario& scenario)
{
    publish_switch(scenario);
    scenario.checker.step(3ms + random_duration(scenario, 300ms));
}

void preset_accepted(control_scenario& scenario)
{
    scenario.loop.platform.down = true;
    scenario.checker.step(6s);
    scenario.request_switch(scenario.node, 1, "peak");
    scenario.checker.step(2s);
    scenario.expected = scenario.accepted(1) ? "peak" : "";
    scenario.loop.platform.down = false;
}

void member_joining(control_scenario& scenario)
{
    scenario.loop.stop(scenario.node);
    scenario.checker.step(random_duration(scenario, 4s));
    scenario.loop.start(scenario.node);
    scenario.checker.step(random_duration(scenario, 600ms));
}

void member_leaving(control_scenario& scenario)
{
    scenario.loop.nodes()[scenario.other].in_flight->store(1);
    scenario.loop.send(scenario.other, drain_requested{});
    scenario.checker.step(1s + random_duration(scenario, 1s));
}

void upstream_leaving_step(control_scenario& scenario)
{
    scenario.checker.record_leaving_mark();
    scenario.loop.send(scenario.node, upstream_leaving{{1}, {1}});
    scenario.checker.step(200ms + random_duration(scenario, 300ms));
}

void order_sent(control_scenario& scenario)
{
    publish_switch(scenario);
    scenario.checker.step(random_duration(scenario, 6s));
}

constexpr std::array steps{
    control_step{"preset read", &preset_read},
    control_step{"preset spread", &preset_spread},
    control_step{"preset accepted", &preset_accepted},
    control_step{"member joining", &member_joining},
    control_step{"member leaving", &member_leaving},
    control_step{"upstream leaving", &upstream_leaving_step},
    control_step{"order sent", &order_sent},
};

// -- one run -----------------------------------------------------------------------------------

void publish_engines(testing::fleet_loop& loop)
{
    for (std::uint64_t i = 1; i <= engine_count; ++i)
    {
        state::upstream engine;
        engine.id = {i};
        engine.incarnation_number = {1};
        engine.zone = {i % zone_count + 1};
        engine.model = {1};
        engine.fences_orders = i % 2 == 0;
        loop.platform.list.upstreams.push_back(engine);
    }
    std::uint64_t revision = 10;
    for (std::string const name : {"ordinary", "peak", "maintenance"})
    {
        state::preset preset;
        preset.name = name;
        preset.assignments = {{{1}, state::engine_role::mixed, 100, name, ""}};
        ++revision;
        loop.publish(revision, preset_published{revision, preset,
                                                std::make_shared<std::string const>(name + "!")});
    }
}

void remove_faults(control_scenario& scenario)
{
    for (std::size_t i = 0; i < node_count; ++i)
    {
        if (scenario.loop.nodes()[i].control == nullptr)
        {
            scenario.loop.start(i);
        }
    }
    scenario.loop.loss = 0;
    scenario.loop.connected = [](std::size_t, std::size_t)
    {
        return true;
    };
    scenario.loop.platform.down = false;
    scenario.loop.platform.visible_revision = UINT64_MAX;
    scenario.loop.platform.disconnected_zones.clear();
    scenario.loop.notify_watchers();
    scenario.checker.step(40s);
}

[[nodiscard]] bool has_drained(control_scenario const& scenario)
{
    auto const& nodes = scenario.loop.nodes();
    return std::any_of(nodes.begin(), nodes.end(),
                       [](testing::node_model const& node) { return node.finished; });
}

// Every engine follows the preset in force, and no engine received an older order after a newer
// one.
void check_orders(control_scenario& scenario)
{
    auto const fleet = scenario.loop.fleet(0);
    std::map<state::upstream_id, std::uint64_t> newest;
    for (auto const& [node, sent] : scenario.loop.orders)
    {
        std::uint64_t& fence = newest[sent.upstream];
        scenario.checker.found.wrong_orders += sent.order.fence < fence ? 1 : 0;
        scenario.checker.found.wrong_orders += sent.order.fence == 0 ? 1 : 0;
        fence = std::max(fence, sent.order.fence);
    }
    for (std::uint64_t i = 1; i <= engine_count; ++i)
    {
        bool const follows = scenario.loop.engines[{i}].version == fleet->preset.name;
        scenario.checker.found.wrong_orders += follows ? 0 : 1;
    }
}

[[nodiscard]] violations describe(testing::violations const& found, bool unexpected)
{
    std::array<std::pair<std::size_t, char const*>, 11> const rows{{
        {found.reverts, "a node reverted to an older switch"},
        {found.served_old, "a restarted node served under an old preset"},
        {found.lost_switches, "an accepted switch was lost"},
        {found.divergence, "nodes disagreed or did not serve after the heal"},
        {found.leaving_offered, "a leaving upstream was offered again"},
        {found.late_marks, "a leaving upstream was offered after 2 s"},
        {found.members_not_alive, "a living member was not seen alive"},
        {found.missing_or_repeated_answers, "an operator received no answer or two answers"},
        {found.requests_cut_by_drain, "a drain ended with requests in flight"},
        {found.wrong_orders, "an engine follows an old order"},
        {unexpected ? 1U : 0U, "a preset other than the last one is in force"},
    }};
    violations result;
    for (auto const& [count, text] : rows)
    {
        if (count != 0)
        {
            result.emplace_back(text);
        }
    }
    return result;
}

[[nodiscard]] violations run(control_step const& step, std::vector<control_fault const*> faults,
                             std::uint64_t seed, safeguard_set safeguards)
{
    node_settings settings;
    settings.safeguards = safeguards;
    settings.order_interval = 2s;
    settings.weight_load_time = 2s;
    std::mt19937_64 random{seed};
    testing::fleet_loop loop{node_count, zone_count, seed, settings};
    testing::control_checker checker{loop};
    loop.engine_delay = 300ms;
    testing::publish_base_configuration(loop);
    publish_engines(loop);
    checker.step(settling_time);
    control_scenario scenario{loop, checker, random, 1 + random() % 2, 3 + random() % 3, {}};
    step.reach(scenario);
    for (control_fault const* const fault : faults)
    {
        fault->inject(scenario);
    }
    remove_faults(scenario);
    checker.check_final_state();
    check_orders(scenario);
    // When the requests in flight end, the drain has to end too.
    bool const drains =
        step.reach == &member_leaving && scenario.loop.fleet(scenario.other)->draining;
    if (drains)
    {
        loop.nodes()[scenario.other].in_flight->store(0);
        checker.step(1s);
        checker.found.requests_cut_by_drain += has_drained(scenario) ? 0 : 1;
    }
    bool const unexpected = !scenario.expected.empty() &&
                            loop.fleet(0)->in_force.preset != preset_named(scenario.expected);
    return describe(checker.found, unexpected);
}

// -- forged datagrams -------------------------------------------------------------------------

// A sender without the fleet key sends a datagram that puts a preset in force.
[[nodiscard]] violations run_forged(std::uint64_t seed, safeguard_set safeguards)
{
    node_settings settings;
    settings.safeguards = safeguards;
    testing::fleet_loop loop{node_count, zone_count, seed, settings};
    testing::control_checker checker{loop};
    testing::publish_base_configuration(loop);
    checker.step(settling_time);
    peer_message forged;
    forged.sender = loop.nodes()[3].settings.self;
    forged.stamp = {1'000, 0, 0, preset_named("maintenance")};
    std::string const datagram = protocol::encode(forged, "a key that was guessed");
    auto const read =
        protocol::decode_peer_message(datagram, "an example fleet key", {}, safeguards);
    if (read)
    {
        loop.send(1, datagram_received{loop.endpoint_of(3), read.value()});
    }
    checker.step(5s);
    return describe(checker.found, loop.fleet(0)->in_force.preset != preset_named("ordinary"));
}

[[nodiscard]] cell make_cell(control_step const& step, std::vector<control_fault const*> faults,
                             std::string name)
{
    return {std::string{step.name},
            std::move(name),
            [step, faults = std::move(faults)](std::uint64_t seed, safeguard_set safeguards)
            { return run(step, faults, seed, safeguards); },
            {}};
}

} // namespace

std::vector<cell> control_cells()
{
    std::vector<cell> cells;
    for (control_step const& step : steps)
    {
        for (control_fault const& fault : control_faults())
        {
            cells.push_back(make_cell(step, {&fault}, std::string{fault.name}));
        }
        cells.push_back({std::string{step.name}, "forged datagram",
                         step.reach == &preset_spread ? &run_forged : nullptr,
                         step.reach == &preset_spread ? "" : "see preset spread"});
    }
    return cells;
}

std::vector<guarded_cell> control_guards()
{
    return {
        {safeguard::stamp_join, "preset spread", "platform stale"},
        {safeguard::catch_up, "preset accepted", "starts cut off"},
        {safeguard::acceptance_count, "preset read", "cut off and dies"},
        {safeguard::outage_switch, "preset accepted", "published unseen"},
        {safeguard::pause_recheck, "preset read", "wakes cut off"},
        {safeguard::leaving_mark, "upstream leaving", "list lags"},
        {safeguard::member_incarnation, "member joining", "address taken"},
        {safeguard::suspicion, "member joining", "link stalls"},
        {safeguard::datagram_mac, "preset spread", "forged datagram"},
        {safeguard::order_fence, "order sent", "list lags"},
        {safeguard::order_readback, "order sent", "engine dies"},
        {safeguard::drain_waits, "member leaving", "list lags"},
    };
}

} // namespace plumdale::faults
