#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace plumdale;
using namespace plumdale::system_tests;
using namespace std::chrono_literals;

namespace
{

// Waits until some tokens are received and returns the engine that generates them.
std::size_t find_streaming_engine(fleet& deployment, running_caller& caller)
{
    constexpr std::uint32_t min_tokens = 20;
    REQUIRE(eventually([&] { return caller.tokens() >= min_tokens; }));
    for (boost::json::value const& run : deployment.runs())
    {
        if (run.at("state").as_string() == "running")
        {
            return run.at("engine").to_number<std::size_t>();
        }
    }
    FAIL("no engine runs the answer");
    return 0;
}

} // namespace

// An engine is killed in the middle of a billed draft, and the rest of the answer is lost. A second
// engine must not run the draft again: it would be billed twice, and its tokens would not match
// those already sent. The caller receives the tokens so far and a failure.
TEST_CASE("a draft whose engine dies is never run again", "[system]")
{
    fleet deployment{fleet_shape{}};
    auto options = deployment.caller({0}, "draft", 400);
    options.attach_timeout = 2s;
    running_caller caller{options};
    std::size_t const engine = find_streaming_engine(deployment, caller);
    deployment.engine(engine).program->signal(SIGKILL);
    caller_result const& result = caller.finish();
    REQUIRE(result.failed);
    CHECK(state::answer_for(result.failed->kind).claim != state::run_claim::not_run);
    caller_result prefix{result.answer, {}};
    CHECK(describe_fault(prefix, static_cast<std::uint32_t>(result.answer.tokens.size())).empty());
    CHECK(deployment.runs().empty());
}

// An engine freezes before it generates the first token of a question. No token was sent to the
// caller, so the question may be repeated: another engine must answer it completely.
TEST_CASE("questions sent to a frozen engine are answered by another", "[system]")
{
    fleet deployment{fleet_shape{}};
    deployment.engine(0).program->signal(SIGSTOP);
    std::deque<running_caller> callers;
    for (int i = 0; i < 6; ++i)
    {
        auto options = deployment.caller({static_cast<std::size_t>(i % 3)}, "question", 10);
        options.idle_timeout = default_timeout;
        callers.emplace_back(std::move(options));
    }
    for (running_caller& caller : callers)
    {
        CHECK(describe_fault(caller.finish(), 10) == no_fault);
        CHECK(caller.finish().answer.attachments == 0);
    }
    deployment.engine(0).program->signal(SIGCONT);
}

// An engine freezes during a draft and resumes later. After the pause the caller must receive the
// rest from the same run, each token once.
TEST_CASE("a draft continues when its frozen engine wakes", "[system]")
{
    fleet deployment{fleet_shape{}};
    running_caller caller{deployment.caller({0, 1}, "draft", 200)};
    std::size_t const engine = find_streaming_engine(deployment, caller);
    deployment.engine(engine).program->signal(SIGSTOP);
    std::uint32_t const before = caller.tokens();
    CHECK_FALSE(eventually([&] { return caller.tokens() > before + 5; }, 1s));
    deployment.engine(engine).program->signal(SIGCONT);
    caller_result const& result = caller.finish();
    CHECK(describe_fault(result, 200) == no_fault);
    CHECK(deployment.runs_of(result.answer.generation) == 1);
}

// An engine sends two faulty token events: garbage, a wrong index, another identity or a token
// twice. None of them may reach the caller, and the answer must be resumed.
TEST_CASE("faulty tokens from an engine never reach the caller", "[system]")
{
    std::string const fault = GENERATE("garbage", "wrong_index", "wrong_identity", "duplicate");
    CAPTURE(fault);
    fleet deployment{fleet_shape{}};
    running_caller caller{deployment.caller({0, 1}, "draft", 200)};
    std::size_t const engine = find_streaming_engine(deployment, caller);
    control(deployment.engine(engine).address,
            {{"tokens", boost::json::object{{"fault", fault}, {"count", 2}}}});
    caller_result const& result = caller.finish();
    CHECK(describe_fault(result, 200) == no_fault);
    CHECK(deployment.runs_of(result.answer.generation) == 1);
}

// The platform's list marks an engine as leaving while questions arrive. From two seconds later it
// must get no new work, which would be lost when the engine is reclaimed.
TEST_CASE("a leaving engine gets no new work after two seconds", "[system]")
{
    fleet deployment{fleet_shape{}};
    std::string const leaving = deployment.engine(0).address;
    deployment.publish_vm_list({{leaving, true}});
    control(leaving, {{"leaving_ms", 2'000}});
    auto const until = std::chrono::steady_clock::now() + 4s;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i)
    {
        running_caller caller{deployment.caller({i % deployment.entry_count()}, "question", 3)};
        CHECK(describe_fault(caller.finish(), 3) == no_fault);
    }
    boost::json::object const record = get(leaving, "/v1/record");
    for (boost::json::value const& run : record.at("runs").as_array())
    {
        CHECK_FALSE(run.at("started_while_leaving").as_bool());
    }
}
