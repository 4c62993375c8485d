#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace plumdale;
using namespace plumdale::system_tests;

// Answers in flight must be delivered completely while their entry VM shuts down. The health check
// that load balancers poll fails first, and a new request is refused as not run with a time to
// retry. A second SIGTERM, which some supervisors send, must not cut an answer either.
TEST_CASE("a graceful shutdown cuts no request in flight", "[system]")
{
    int const signals = GENERATE(1, 2);
    CAPTURE(signals);
    fleet deployment{fleet_shape{}};
    running_caller draft{deployment.caller({0}, "draft", 300)};
    running_caller question{deployment.caller({0}, "question", 200)};
    REQUIRE(eventually([&] { return draft.tokens() >= 10 && question.tokens() >= 10; }));
    for (int i = 0; i < signals; ++i)
    {
        deployment.entry(0).program->signal(SIGTERM);
        CHECK(eventually([&] { return !deployment.ready(0); }));
    }
    running_caller late{deployment.caller({0}, "draft", 5)};
    REQUIRE(late.finish().failed);
    CHECK(late.finish().failed->kind == state::error_kind::draining);
    CHECK(describe_fault(draft.finish(), 300) == no_fault);
    CHECK(draft.finish().answer.attachments == 0);
    CHECK(describe_fault(question.finish(), 200) == no_fault);
    CHECK(question.finish().answer.attachments == 0);
    CHECK(deployment.entry(0).program->wait() == 0);
    CHECK(deployment.runs().size() == 2);
}
