#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace plumdale::system_tests;
namespace json = boost::json;

// The connection between entry VM and engine is cut, stalls, or stays open and discards everything
// while new connections work. The entry VM must detect the missing tokens and resume from the next
// index over a new connection, without a second run. The caller notices at most a short pause.
TEST_CASE("a stream continues over a new connection", "[system]")
{
    json::object const fault =
        GENERATE(json::object{{"cut", true}}, json::object{{"open", "stall"}},
                 json::object{{"open", "swallow"}});
    CAPTURE(json::serialize(fault));
    fleet_shape shape;
    shape.engines = 1;
    shape.entry_vms = 1;
    shape.relays = true;
    fleet deployment{shape};
    running_caller caller{deployment.caller({0}, "draft", 300)};
    REQUIRE(eventually([&] { return caller.tokens() >= 20; }));
    control(deployment.engine(0).relay_control_address, fault);
    caller_result const& result = caller.finish();
    CHECK(describe_fault(result, 300) == no_fault);
    CHECK(result.answer.attachments == 0);
    CHECK(deployment.runs_of(result.answer.generation) == 1);
}

// The port of the only engine refuses connections, so no request can have been sent. The caller
// must get a failure without tokens, and nothing may have run.
TEST_CASE("a request fails without a run when no engine can be reached", "[system]")
{
    fleet_shape shape;
    shape.engines = 1;
    shape.entry_vms = 1;
    shape.relays = true;
    fleet deployment{shape};
    control(deployment.engine(0).relay_control_address, {{"refuse", true}, {"cut", true}});
    auto options = deployment.caller({0}, "draft", 10);
    options.attach_timeout = std::chrono::seconds{1};
    running_caller caller{options};
    caller_result const& result = caller.finish();
    REQUIRE(result.failed);
    INFO(describe_fault(result, 10));
    CHECK(result.answer.tokens.empty());
    CHECK(deployment.runs().empty());
}
