#include "process.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace plumdale::system_tests;
namespace json = boost::json;

namespace
{

std::string start_body(std::string const& generation, int tokens, int priority = 0,
                       std::string const& prompt = "")
{
    return json::serialize(
        json::object{{"generation", generation},
                     {"model", "lists"},
                     {"kind", "draft"},
                     {"priority", priority},
                     {"prompt", prompt + "[tokens=" + std::to_string(tokens) + "]"}});
}

json::object only_run(std::string const& engine)
{
    json::array const runs = get(engine, "/v1/record").at("runs").as_array();
    REQUIRE(runs.size() == 1);
    return runs.front().as_object();
}

std::size_t count_events(std::string const& body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("data: "); at != std::string::npos;
         at = body.find("data: ", at + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("an engine out of memory preempts and recomputes, and every answer is complete",
          "[standins]")
{
    process engine{"plumdale-standins", {"engine", "--token-ms", "0.1", "--blocks", "40"}};
    std::string const address = engine.line_after("listening");
    std::vector<std::thread> callers;
    std::vector<std::size_t> events(4);
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                events[i] = count_events(request(address, "POST", "/v1/streams",
                                                 start_body("g-" + std::to_string(i), 300))
                                             .body);
            });
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    for (std::size_t const count : events)
    {
        CHECK(count == 301);
    }
    CHECK(eventually([&] { return get(address, "/v1/load").at("preemptions").as_int64() > 0; }));
}

TEST_CASE("a finished stream can be read from any index", "[standins]")
{
    process engine{"plumdale-standins", {"engine", "--token-ms", "0.1"}};
    std::string const address = engine.line_after("listening");
    CHECK(count_events(request(address, "POST", "/v1/streams", start_body("g-1", 50)).body) == 51);
    CHECK(count_events(request(address, "GET", "/v1/streams/g-1?from=40", "").body) == 11);
    CHECK(request(address, "GET", "/v1/streams/g-2?from=0", "").status == 404);
    CHECK(only_run(address).at("state").as_string() == "finished");
}

TEST_CASE("starting an identity twice runs it twice", "[standins]")
{
    process engine{"plumdale-standins", {"engine", "--token-ms", "0.1"}};
    std::string const address = engine.line_after("listening");
    CHECK(request(address, "POST", "/v1/streams", start_body("g-1", 5)).status == 200);
    CHECK(request(address, "POST", "/v1/streams", start_body("g-1", 5)).status == 200);
    CHECK(get(address, "/v1/record").at("runs").as_array().size() == 2);
}

TEST_CASE("an old fence is refused only by an engine that checks it", "[standins]")
{
    process checking{"plumdale-standins", {"engine"}};
    process ignoring{"plumdale-standins", {"engine", "--unfenced"}};
    std::string const newer = R"({"fence":5,"role":"drafts"})";
    std::string const older = R"({"fence":4,"role":"questions"})";
    for (process* const engine : {&checking, &ignoring})
    {
        std::string const address = engine->line_after("listening");
        CHECK(request(address, "POST", "/v1/orders", newer).status == 200);
        bool const checks = engine == &checking;
        CHECK(request(address, "POST", "/v1/orders", older).status == (checks ? 409U : 200U));
        CHECK(get(address, "/v1/orders").at("role").as_string() ==
              (checks ? "drafts" : "questions"));
    }
}

TEST_CASE("a prefix is stored once, and a larger answer evicts it", "[standins]")
{
    process engine{"plumdale-standins",
                   {"engine", "--token-ms", "0.1", "--blocks", "40", "--cache-blocks", "10"}};
    std::string const address = engine.line_after("listening");
    std::string const prompt(640, 'x');
    for (int i = 0; i < 2; ++i)
    {
        CHECK(request(address, "POST", "/v1/streams", start_body("g-1", 5, 0, prompt)).status ==
              200);
    }
    CHECK(request(address, "POST", "/v1/streams", start_body("g-2", 600)).status == 200);
    CHECK(eventually(
        [&]
        {
            json::array const events =
                get(address, "/v1/cache/events?after=0").at("events").as_array();
            return !events.empty() && events.back().at("kind").as_string() == "evicted";
        }));
}

TEST_CASE("a platform that is down closes connections, and a stale one returns old values",
          "[standins]")
{
    process platform{"plumdale-standins", {"platform"}};
    std::string const address = platform.line_after("listening");
    control(address, {{"config", {{"switch", {{"preset", "ordinary"}}}}}});
    control(address, {{"stale", true}});
    control(address, {{"config", {{"switch", {{"preset", "peak"}}}}}});
    CHECK(get(address, "/v1/config/switch").at("value").at("preset").as_string() == "ordinary");
    control(address, {{"stale", false}});
    CHECK(get(address, "/v1/config/switch").at("value").at("preset").as_string() == "peak");
    control(address, {{"down", true}});
    CHECK(request(address, "GET", "/v1/config/switch", "").status == 0);
    control(address, {{"down", false}, {"call_limit", 0}});
    CHECK(request(address, "GET", "/v1/config/switch", "").status == 429);
}

TEST_CASE("a swallowed connection stays silent while new ones work", "[standins]")
{
    process engine{"plumdale-standins", {"engine", "--token-ms", "5"}};
    std::string const engine_address = engine.line_after("listening");
    process relay{"plumdale-standins", {"relay", "--to", engine_address}};
    std::string const controls = relay.line_after("control");
    std::string const address = relay.line_after("listening");
    answer swallowed;
    std::thread caller{[&]
                       {
                           swallowed =
                               request(address, "POST", "/v1/streams", start_body("g-1", 200),
                                       std::chrono::milliseconds{500});
                       }};
    CHECK(eventually([&]
                     { return !get(engine_address, "/v1/record").at("runs").as_array().empty(); }));
    CHECK(control(controls, {{"open", "swallow"}}) == 1);
    caller.join();
    CHECK(swallowed.status == 0);
    CHECK(count_events(request(address, "GET", "/v1/streams/g-1?from=0", "").body) == 201);
}
