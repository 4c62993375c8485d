#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <optional>

using namespace plumdale;
using namespace plumdale::system_tests;
using namespace std::chrono_literals;

// An entry VM dies in the middle of a billed draft, and the caller attaches by identity through
// another one. The engine still runs the stream, so the rest must be read from there and nothing
// may run twice.
TEST_CASE("a draft survives the death of its entry VM", "[system]")
{
    fleet deployment{fleet_shape{}};
    running_caller caller{deployment.caller({0, 1, 2}, "draft", 300)};
    REQUIRE(eventually([&] { return caller.tokens() >= 20; }));
    deployment.entry(0).program->signal(SIGKILL);
    caller_result const& result = caller.finish();
    CHECK(describe_fault(result, 300) == no_fault);
    CHECK(result.answer.attachments >= 1);
    CHECK(deployment.runs_of(result.answer.generation) == 1);
}

// An entry VM freezes in the middle of a draft, and the caller times out and attaches through
// another one. When the frozen VM wakes, its state still says that it owns the stream: it must not
// start it again.
TEST_CASE("an entry VM that freezes and wakes runs nothing twice", "[system]")
{
    fleet deployment{fleet_shape{}};
    auto options = deployment.caller({0, 1, 2}, "draft", 400);
    options.idle_timeout = 1s;
    running_caller caller{options};
    REQUIRE(eventually([&] { return caller.tokens() >= 20; }));
    deployment.entry(0).program->signal(SIGSTOP);
    std::uint32_t const before = caller.tokens();
    CHECK(eventually([&] { return caller.tokens() > before + 30; }));
    deployment.entry(0).program->signal(SIGCONT);
    caller_result const& result = caller.finish();
    CHECK(describe_fault(result, 400) == no_fault);
    CHECK(eventually([&] { return deployment.ready(0); }));
    CHECK(deployment.runs_of(result.answer.generation) == 1);
}

// A client repeats a billed draft through another entry VM under the same key while the first
// attempt still runs. The second attempt must read the first one's stream from its beginning and
// supersede it; nothing may run twice. Entry VMs that have just started refuse keys as not run for
// some seconds, so the first attempt is retried until it runs.
TEST_CASE("a repeat under the same key runs nothing", "[system]")
{
    fleet deployment{fleet_shape{}};
    auto options = deployment.caller({0}, "draft", 200);
    options.one_call = true;
    options.idempotency_key = "list-of-monday";
    options.attempt = 1;
    std::optional<running_caller> first;
    bool const started = eventually(
        [&]
        {
            first.emplace(options);
            bool const runs = eventually([&] { return first->tokens() >= 5 || first->ended(); }) &&
                              !first->ended();
            if (!runs)
            {
                auto const& failed = first->finish().failed;
                REQUIRE(failed);
                CHECK(state::answer_for(failed->kind).claim == state::run_claim::not_run);
            }
            return runs;
        });
    REQUIRE(started);
    auto again = options;
    again.entries = {deployment.entry(1).address};
    again.attempt = 2;
    again.attach_timeout = 1s;
    running_caller second{again};
    CHECK(describe_fault(second.finish(), 200) == no_fault);
    caller_result const& before = first->finish();
    REQUIRE(before.failed);
    CHECK(before.failed->kind == state::error_kind::superseded);
    caller_result const prefix{before.answer, {}};
    CHECK(describe_fault(prefix, before.answer.next_index) == no_fault);
    CHECK(deployment.runs().size() == 1);
}

// All entry VMs are replaced one by one, as in a rollout: each drains while drafts run through it,
// and a new one joins. No answer may be cut or run twice.
TEST_CASE("a rolling replacement of all entry VMs cuts no answer", "[system]")
{
    fleet deployment{fleet_shape{}};
    std::deque<running_caller> callers;
    for (std::size_t old = 0; old < 3; ++old)
    {
        std::size_t const added = deployment.add_entry();
        callers.emplace_back(deployment.caller({old, added}, "draft", 150));
        REQUIRE(eventually([&] { return callers.back().tokens() >= 5; }));
        deployment.entry(old).program->signal(SIGTERM);
        CHECK(deployment.entry(old).program->wait() == 0);
        deployment.publish_vm_list();
    }
    for (running_caller& caller : callers)
    {
        caller_result const& result = caller.finish();
        CHECK(describe_fault(result, 150) == no_fault);
        CHECK(result.answer.attachments == 0);
        CHECK(deployment.runs_of(result.answer.generation) == 1);
    }
    running_caller last{deployment.caller({3, 4, 5}, "question", 5)};
    CHECK(describe_fault(last.finish(), 5) == no_fault);
}
