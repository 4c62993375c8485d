#include "coordination/fleet_values.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

// Guards against a shutdown that cuts off answers which callers are still reading. A draining VM
// first fails its health check, refuses new requests, and ends once the last answer is complete.
TEST_CASE("a drain waits for what is in flight", "[drain]")
{
    auto const waits = [](node_settings const& settings)
    {
        fleet_loop loop{3, 1, 1, settings};
        publish_base_configuration(loop);
        loop.run_for(8s);
        node_model& node = loop.nodes()[1];
        node.in_flight->store(2);
        loop.send(1, drain_requested{});
        loop.run_for(1s);
        CHECK(loop.fleet(1)->draining);
        loop.run_for(60s);
        bool const waited = !node.finished;
        node.in_flight->store(0);
        loop.run_for(1s);
        CHECK(node.finished);
        return waited;
    };
    CHECK(waits({}));
    node_settings off;
    off.safeguards = off.safeguards.without(safeguard::drain_waits);
    CHECK_FALSE(waits(off));
}

// Guards against a second signal that ends the process while requests are in flight.
TEST_CASE("a second request to drain does not cut off answers", "[drain]")
{
    fleet_loop loop{3, 1, 2};
    publish_base_configuration(loop);
    loop.run_for(8s);
    loop.nodes()[1].in_flight->store(1);
    loop.send(1, drain_requested{});
    loop.run_for(1s);
    loop.send(1, drain_requested{});
    loop.run_for(30s);
    CHECK_FALSE(loop.nodes()[1].finished);
}

TEST_CASE("a drain ends at its limit", "[drain]")
{
    node_settings settings;
    settings.drain_limit = 5s;
    fleet_loop loop{3, 1, 3, settings};
    publish_base_configuration(loop);
    loop.run_for(8s);
    loop.nodes()[1].in_flight->store(1);
    loop.send(1, drain_requested{});
    loop.run_for(4s);
    loop.send(1, drain_requested{});
    CHECK_FALSE(loop.nodes()[1].finished);
    loop.run_for(2s);
    CHECK(loop.nodes()[1].finished);
}

TEST_CASE("peers see that an entry VM drains", "[drain]")
{
    fleet_loop loop{9, 3, 4};
    publish_base_configuration(loop);
    loop.run_for(8s);
    loop.nodes()[1].in_flight->store(1);
    loop.send(1, drain_requested{});
    CHECK(loop.run_until(loop.now() + 2s,
                         [&]
                         {
                             auto const fleet = loop.fleet(5);
                             auto const* const member = fleet->find_member(fleet_loop::id_of(1));
                             return member != nullptr &&
                                    member->health == state::member_health::leaving;
                         }));
}
