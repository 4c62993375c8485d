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

// Waits until some tokens have come and returns the engine that makes them.
std::size_t find_streaming_engine(fleet& deployment, running_caller& caller)
{
    constexpr std::uint32_t some = 20;
    REQUIRE(eventually([&] { return caller.tokens() >= some; }));
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

// The caller of a billed draft sees tokens, and then that the answer broke off. The engine is
// killed in the middle, so the rest exists nowhere; a second engine must not make it again, since
// the draft would be billed twice and its tokens would not fit those already shown.
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

// The caller of a question waits for its first token. Its engine is frozen before it made one, so
// nothing was shown and the question may be repeated: another engine answers it whole.
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

// The caller of a draft sees a pause. The engine is frozen and goes on later; its tokens come from
// the same run, each once.
TEST_CASE("a draft goes on when its frozen engine wakes", "[system]")
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

// The caller sees its own tokens only. For a while the engine sends garbage, a wrong index, another
// identity or a token twice; none of that may reach the caller, and the answer is resumed.
TEST_CASE("what an engine sends wrongly never reaches the caller", "[system]")
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

// Operators see an engine leaving in the platform's list while questions keep coming. Two seconds
// later it must get no new work, or what it runs is lost when it is reclaimed.
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
