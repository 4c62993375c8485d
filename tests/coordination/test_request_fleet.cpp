#include "fleet/checked_callers.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

/// \brief Longer than keys are remembered, so that no VM counts as recently started.
constexpr duration warm_up = 66s;

/// \brief Begins orders of all kinds at random nodes over ten seconds; every other keyed order
/// carries its attempt number.
void begin_orders(request_fleet& fleet, checked_callers& callers, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const kind =
            static_cast<order_kind>(fleet.random() % static_cast<std::size_t>(order_kind::count));
        duration const at = warm_up + std::chrono::milliseconds{fleet.random() % 10000};
        std::size_t const node = fleet.random() % fleet.nodes.size();
        fleet.loop.after(
            at, [&callers, kind, node, i]
            { callers.begin(kind, node, [i](order& each) { each.numbered = i % 2 == 0; }); });
    }
}

void inject_random_fault(request_fleet& fleet)
{
    std::size_t const node = fleet.random() % fleet.nodes.size();
    std::size_t const engine = fleet.random() % fleet.engines.size();
    duration const length = std::chrono::milliseconds{fleet.random() % 9000};
    switch (fleet.random() % 9)
    {
    case 0:
        fleet.stop_node(node);
        return fleet.loop.after(length, [&fleet, node] { fleet.start_node(node); });
    case 1:
        fleet.nodes[node].paused = true;
        return fleet.loop.after(length,
                                [&fleet, node, life = fleet.nodes[node].life]
                                {
                                    if (fleet.nodes[node].life == life)
                                    {
                                        fleet.wake_node(node);
                                    }
                                });
    case 2:
        fleet.stop_engine(engine);
        return fleet.loop.after(length, [&fleet, engine] { fleet.engines[engine].alive = true; });
    case 3:
        return fleet.silence_engine(engine);
    case 4:
        fleet.engines[engine].stalled = true;
        return fleet.loop.after(length,
                                [&fleet, engine] { fleet.engines[engine].stalled = false; });
    case 5:
        fleet.cut_zone = 0;
        return fleet.loop.after(length, [&fleet] { fleet.cut_zone.reset(); });
    case 6:
        fleet.engines[engine].refuses = true;
        return fleet.loop.after(length,
                                [&fleet, engine] { fleet.engines[engine].refuses = false; });
    case 7:
        fleet.wire = {0.02, 0.02, 0.01};
        return fleet.loop.after(length, [&fleet] { fleet.wire = {}; });
    default:
        fleet.engines[engine].leaving_since = fleet.loop.now();
    }
}

} // namespace

TEST_CASE("without faults every answer is complete", "[request_fleet]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        checked_callers callers;
        request_fleet fleet{{}, seed, callers};
        callers.fleet = &fleet;
        begin_orders(fleet, callers, 30);
        fleet.loop.run_until(fleet.loop.now() + 120s);
        callers.check();
        CHECK_THAT(callers.violations, Catch::Matchers::Equals(std::vector<std::string>{}));
        CHECK(callers.whole() == 30);
    }
}

// Callers send questions and billed drafts to four VMs in two zones while VMs and engines die,
// pause, are partitioned off, fall silent and send wrong tokens, several at once. Whatever the
// order, no caller receives a token twice, out of order or from another run, no billed draft runs
// twice, a request refused as not run did not run, and every caller is answered.
TEST_CASE("guarantees hold under random faults", "[request_fleet]")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed)
    {
        CAPTURE(seed);
        checked_callers callers;
        request_fleet fleet{{}, seed, callers};
        callers.fleet = &fleet;
        begin_orders(fleet, callers, 30);
        for (int i = 0; i < 5; ++i)
        {
            fleet.loop.after(warm_up + std::chrono::milliseconds{fleet.random() % 12000},
                             [&fleet] { inject_random_fault(fleet); });
        }
        fleet.loop.run_until(fleet.loop.now() + 300s);
        callers.check();
        CHECK_THAT(callers.violations, Catch::Matchers::Equals(std::vector<std::string>{}));
    }
}
