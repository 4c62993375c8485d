#include "request_faults.hpp"

#include <algorithm>
#include <array>

namespace plumdale::faults
{

using namespace test;

std::size_t request_scenario::entry_vm() const
{
    order const& target_order = target();
    std::uint64_t const owner = target_order.generation.owner.value;
    bool const owned = owner >= 100 && owner - 100 < fleet.nodes.size();
    return owned && fleet.random() % 2 == 0 ? owner - 100 : target_order.node;
}

std::size_t request_scenario::engine() const
{
    for (auto run = fleet.runs.rbegin(); run != fleet.runs.rend(); ++run)
    {
        if (run->request == target().name)
        {
            return run->engine;
        }
    }
    return fleet.random() % fleet.engines.size();
}

namespace
{

// -- upstreams ------------------------------------------------------------------------------------

void engine_dies(request_scenario const& scenario)
{
    std::size_t const engine = scenario.engine();
    scenario.fleet.stop_engine(engine);
    scenario.fleet.loop.after(scenario.random_duration(9s), [&fleet = scenario.fleet, engine]
                              { fleet.engines[engine].alive = true; });
}

void engine_reclaimed(request_scenario const& scenario)
{
    std::size_t const engine = scenario.engine();
    scenario.fleet.engines[engine].leaving_since = scenario.fleet.loop.now();
    scenario.fleet.loop.after(2s + scenario.random_duration(2s),
                              [&fleet = scenario.fleet, engine] { fleet.stop_engine(engine); });
}

void engine_refuses(request_scenario const& scenario)
{
    std::size_t const engine = scenario.engine();
    scenario.fleet.engines[engine].refuses = true;
    scenario.fleet.loop.after(scenario.random_duration(9s), [&fleet = scenario.fleet, engine]
                              { fleet.engines[engine].refuses = false; });
}

void link_stalls(request_scenario const& scenario)
{
    std::size_t const engine = scenario.engine();
    scenario.fleet.engines[engine].stalled = true;
    scenario.fleet.loop.after(200ms + scenario.random_duration(8s),
                              [&fleet = scenario.fleet, engine]
                              { fleet.engines[engine].stalled = false; });
}

void connection_silent(request_scenario const& scenario)
{
    scenario.fleet.silence_engine(scenario.engine());
}

void wrong_tokens(request_scenario const& scenario)
{
    scenario.fleet.wire = {0.05, 0.05, 0.03};
    scenario.fleet.loop.after(5s, [&fleet = scenario.fleet] { fleet.wire = {}; });
}

// -- entry VMs ------------------------------------------------------------------------------------

void vm_dies(request_scenario const& scenario)
{
    std::size_t const entry_vm = scenario.entry_vm();
    scenario.fleet.stop_node(entry_vm);
    scenario.fleet.loop.after(15s + scenario.random_duration(10s),
                              [&fleet = scenario.fleet, entry_vm] { fleet.start_node(entry_vm); });
}

void vm_restarts_empty(request_scenario const& scenario)
{
    std::size_t const entry_vm = scenario.entry_vm();
    scenario.fleet.stop_node(entry_vm);
    scenario.fleet.loop.after(scenario.random_duration(2s),
                              [&fleet = scenario.fleet, entry_vm] { fleet.start_node(entry_vm); });
}

void vm_pauses(request_scenario const& scenario)
{
    std::size_t const entry_vm = scenario.entry_vm();
    std::uint64_t const life = scenario.fleet.nodes[entry_vm].life;
    scenario.fleet.nodes[entry_vm].paused = true;
    // An engine begins to leave while the VM is paused and can't see it.
    std::size_t const engine = scenario.fleet.random() % scenario.fleet.engines.size();
    scenario.fleet.engines[engine].leaving_since = scenario.fleet.loop.now();
    scenario.fleet.loop.after(500ms + scenario.random_duration(9s),
                              [&fleet = scenario.fleet, entry_vm, life]
                              {
                                  if (fleet.nodes[entry_vm].life == life)
                                  {
                                      fleet.wake_node(entry_vm);
                                  }
                              });
}

void vm_drains(request_scenario const& scenario)
{
    std::size_t const entry_vm = scenario.entry_vm();
    scenario.fleet.drain_node(entry_vm);
    scenario.fleet.loop.after(20s,
                              [&fleet = scenario.fleet, entry_vm]
                              {
                                  if (!fleet.nodes[entry_vm].alive)
                                  {
                                      fleet.start_node(entry_vm);
                                  }
                              });
}

// -- zones and platform --------------------------------------------------------------------------

void zone_cut(request_scenario const& scenario)
{
    scenario.fleet.cut_zone = scenario.fleet.nodes[scenario.entry_vm()].zone;
    scenario.fleet.loop.after(1s + scenario.random_duration(20s),
                              [&fleet = scenario.fleet] { fleet.cut_zone.reset(); });
}

void vm_starts_cut_off(request_scenario const& scenario)
{
    std::size_t const entry_vm = scenario.entry_vm();
    scenario.fleet.stop_node(entry_vm);
    scenario.fleet.cut_zone = scenario.fleet.nodes[entry_vm].zone;
    scenario.fleet.loop.after(scenario.random_duration(2s),
                              [&fleet = scenario.fleet, entry_vm] { fleet.start_node(entry_vm); });
    scenario.fleet.loop.after(10s + scenario.random_duration(10s),
                              [&fleet = scenario.fleet] { fleet.cut_zone.reset(); });
}

void platform_down(request_scenario const& scenario)
{
    scenario.fleet.upstream_list_frozen = true;
}

void platform_stale(request_scenario const& scenario)
{
    scenario.fleet.upstream_list_frozen = true;
    scenario.fleet.loop.after(scenario.random_duration(20s),
                              [&fleet = scenario.fleet] { fleet.upstream_list_frozen = false; });
}

void list_lags(request_scenario const& scenario)
{
    scenario.fleet.upstream_list_lag = 1500ms;
    engine_reclaimed(scenario);
}

// -- callers --------------------------------------------------------------------------------------

void caller_leaves(request_scenario const& scenario)
{
    std::size_t const next = scenario.fleet.random() % scenario.fleet.nodes.size();
    // Without a caller, repeatable work is kept for five seconds and billed work until it is done.
    scenario.callers.disconnect_for(
        scenario.target_index, next,
        scenario.random_duration(scenario.target().billed() ? 12s : 4s));
}

void caller_repeats(request_scenario const& scenario)
{
    std::size_t const next = scenario.fleet.random() % scenario.fleet.nodes.size();
    scenario.callers.send_duplicate(scenario.target_index, next);
    scenario.callers.attach_second_connection(
        scenario.target_index, scenario.fleet.random() % scenario.fleet.nodes.size());
}

void caller_stalls(request_scenario const& scenario)
{
    scenario.callers.stop_reading(scenario.target_index);
}

void deadline_passes(request_scenario const& scenario)
{
    for (fake_engine& each : scenario.fleet.engines)
    {
        each.stalled = true;
    }
    scenario.fleet.loop.after(6s,
                              [&fleet = scenario.fleet]
                              {
                                  for (fake_engine& each : fleet.engines)
                                  {
                                      each.stalled = false;
                                  }
                              });
}

void set_time_limit(order& each)
{
    each.time_limit = 3s;
}

void forged_identity(request_scenario const& scenario)
{
    scenario.callers.send_forged_identity(scenario.target_index,
                                          scenario.fleet.random() % scenario.fleet.nodes.size());
}

constexpr std::array faults{
    request_fault{"engine dies", &engine_dies},
    request_fault{"engine reclaimed", &engine_reclaimed},
    request_fault{"engine refuses", &engine_refuses},
    request_fault{"entry VM dies", &vm_dies},
    request_fault{"pauses and wakes", &vm_pauses},
    request_fault{"restarts empty", &vm_restarts_empty},
    request_fault{"drains", &vm_drains},
    request_fault{"link stalls", &link_stalls},
    request_fault{"connection silent", &connection_silent, nullptr, true},
    request_fault{"wrong tokens", &wrong_tokens, nullptr, true},
    request_fault{"zone cut", &zone_cut},
    request_fault{"starts cut off", &vm_starts_cut_off},
    request_fault{"platform down", &platform_down, nullptr, true},
    request_fault{"platform stale", &platform_stale, nullptr, true},
    request_fault{"list lags", &list_lags},
    request_fault{"caller leaves", &caller_leaves, nullptr, true},
    request_fault{"caller repeats", &caller_repeats, nullptr, true},
    request_fault{"caller stalls", &caller_stalls},
    request_fault{"deadline passes", &deadline_passes, &set_time_limit},
    request_fault{"forged identity", &forged_identity, nullptr, true},
};

} // namespace

std::span<request_fault const> request_faults()
{
    return faults;
}

} // namespace plumdale::faults
