#include "tests/fleet/checked_callers.hpp"

#include <array>
#include <cstdio>

/// \file
/// \brief Answers that callers receive during faults, for each method that makes a generation run
/// at most once.

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::size_t nodes = 8;
constexpr std::size_t zones = 4;
constexpr std::size_t engines = 12;
constexpr duration warm_up = 66s;
constexpr duration fault_window = 30s;
constexpr std::uint64_t seeds = 40;

// -- situations -----------------------------------------------------------------------------------

struct situation
{
    std::string_view name;
    void (*begin)(request_fleet& fleet);
};

void no_fault(request_fleet& /*fleet*/) {}

void one_death(request_fleet& fleet)
{
    fleet.stop_node(fleet.random() % nodes);
}

void cut_zone_off(request_fleet& fleet)
{
    fleet.cut_zone = 0;
    fleet.loop.after(fault_window, [&fleet] { fleet.cut_zone.reset(); });
}

void replace_node(request_fleet& fleet, std::size_t which)
{
    fleet.drain_node(which);
    fleet.loop.after(3s,
                     [&fleet, which]
                     {
                         if (fleet.nodes[which].alive)
                         {
                             fleet.stop_node(which);
                         }
                         fleet.start_node(which);
                     });
}

void replace_all_in_turn(request_fleet& fleet)
{
    for (std::size_t i = 0; i < nodes; ++i)
    {
        fleet.loop.after(i * (fault_window / nodes), [&fleet, i] { replace_node(fleet, i); });
    }
}

void kill_and_start(request_fleet& fleet, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        fleet.stop_node(i);
        fleet.loop.after(2s, [&fleet, i] { fleet.start_node(i); });
    }
}

void half_at_once(request_fleet& fleet)
{
    kill_and_start(fleet, nodes / 2);
}

void all_at_once(request_fleet& fleet)
{
    kill_and_start(fleet, nodes);
}

constexpr std::array situations{
    situation{"no fault", &no_fault},
    situation{"one VM dies", &one_death},
    situation{"a zone is cut off", &cut_zone_off},
    situation{"all replaced in turn", &replace_all_in_turn},
    situation{"half die at once", &half_at_once},
    situation{"all die at once", &all_at_once},
};

// -- request methods -----------------------------------------------------------------------------

/// \brief One method of requesting work, and whether the call is a first attempt or a repeat.
struct request_method
{
    std::string_view name;
    order_kind kind;
    bool numbered;
    std::uint32_t attempt;
    bool loses_connection; ///< The first call's connection is lost after 100 ms, then it is
                           ///< repeated.
};

constexpr std::array request_methods{
    request_method{"repeatable question", order_kind::question, true, 1, false},
    request_method{"reserved, then run", order_kind::reserved_draft, true, 1, false},
    request_method{"key, first attempt told (a+d)", order_kind::keyed_draft, true, 1, false},
    request_method{"key, attempt not told (a)", order_kind::keyed_draft, false, 1, false},
    request_method{"key, repeat of a run (a+d)", order_kind::keyed_whole, true, 1, true},
    request_method{"key, repeat of a lost first (a+d)", order_kind::keyed_draft, true, 2, false},
};

struct outcome_counts
{
    std::size_t asked = 0;
    std::size_t whole = 0;
    std::size_t not_run = 0;
    std::size_t in_doubt = 0;
    std::size_t other = 0;
    std::size_t violations = 0;
};

void count_order(outcome_counts& counts, order const& each)
{
    ++counts.asked;
    counts.whole += each.whole ? 1 : 0;
    if (each.whole)
    {
        return;
    }
    bool const doubt = each.last_error == state::error_kind::key_in_doubt;
    bool const known = each.last_error != state::error_kind::count;
    bool const not_run =
        known && !doubt && state::answer_for(each.last_error).claim == state::run_claim::not_run;
    counts.in_doubt += doubt ? 1 : 0;
    counts.not_run += not_run ? 1 : 0;
    counts.other += !doubt && !not_run ? 1 : 0;
}

/// \brief Sends orders throughout the fault window, to VMs that a load balancer would use.
void send_orders(request_fleet& fleet, checked_callers& callers, request_method const& method,
                 bool retries)
{
    constexpr std::size_t orders = 40;
    for (std::size_t i = 0; i < orders; ++i)
    {
        fleet.loop.after(
            warm_up + i * (fault_window / orders),
            [&fleet, &callers, &method, retries]
            {
                std::size_t node = fleet.random() % nodes;
                for (int tries = 0; tries < 50; ++tries)
                {
                    fake_node const& at = fleet.nodes[node];
                    if (at.alive && !at.draining && at.shard)
                    {
                        break;
                    }
                    node = fleet.random() % nodes;
                }
                std::size_t const which = callers.begin(method.kind, node,
                                                        [&](order& each)
                                                        {
                                                            each.numbered = method.numbered;
                                                            each.attempt = method.attempt;
                                                            each.retries =
                                                                retries || method.loses_connection;
                                                        });
                if (method.loses_connection)
                {
                    fleet.loop.after(100ms,
                                     [&fleet, &callers, which, retries]
                                     {
                                         callers.disconnect(which, fleet.random() % nodes);
                                         callers.orders[which].tries =
                                             retries ? 0 : checked_callers::max_tries - 1;
                                     });
                }
            });
    }
}

outcome_counts run(situation const& chosen, request_method const& method, bool retries)
{
    outcome_counts result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        checked_callers callers;
        request_fleet fleet{{nodes, engines, zones, {}, 60s, 20ms}, seed, callers};
        callers.fleet = &fleet;
        fleet.loop.after(warm_up, [&] { chosen.begin(fleet); });
        send_orders(fleet, callers, method, retries);
        fleet.loop.run_until(fleet.loop.now() + warm_up + fault_window + 60s);
        callers.check();
        result.violations += callers.violations.size();
        for (order const& each : callers.orders)
        {
            count_order(result, each);
        }
    }
    return result;
}

void print_table(bool retries)
{
    std::printf("\n| %s | asked | whole %% | refused, not run %% | key in doubt %% | other %% | "
                "violations |\n|---|---|---|---|---|---|---|\n",
                retries ? "callers that try again for 45 s" : "callers that ask once");
    for (situation const& chosen : situations)
    {
        for (request_method const& method : request_methods)
        {
            outcome_counts const each = run(chosen, method, retries);
            auto const share = [&](std::size_t part)
            {
                return 100.0 * static_cast<double>(part) / static_cast<double>(each.asked);
            };
            std::printf("| %s: %s | %zu | %.1f | %.1f | %.1f | %.1f | %zu |\n",
                        std::string{chosen.name}.c_str(), std::string{method.name}.c_str(),
                        each.asked, share(each.whole), share(each.not_run), share(each.in_doubt),
                        share(each.other), each.violations);
        }
    }
}

} // namespace

int main()
{
    print_table(false);
    print_table(true);
}
