#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view refusal_fields = "Plumdale-Not-Executed: 1\r\nRetry-After: 0.3\r\n";
constexpr std::chrono::milliseconds pause_time{300};

/// \brief Sends a call; the first plain upstream refuses it and asks for a pause, the second one
/// answers it.
void call_once(forward_fixture& fixture, std::string const& id)
{
    auto const caller = fixture.call("/event/" + id, id);
    scripted_upstream& asked = fixture.upstream_of(id);
    if (&asked == fixture.upstreams[0].get())
    {
        asked.connections_with(id).front()->send(answer_text(503, id, "", refusal_fields));
        fixture.run_until([&] { return fixture.request_count(id) == 2; });
    }
    fixture.upstreams[1]->connections_with(id).front()->send(
        answer_text(200, id, "", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
}

} // namespace

// Guards against requests to an upstream that asked for a pause: it was the least full one, so each
// next call chose it again and spent a repeat.
TEST_CASE("an upstream that asks for a pause gets nothing until it is over", "[retry-after]")
{
    forward_fixture fixture;
    scripted_upstream const& refusing = *fixture.upstreams[0];
    for (int i = 0; refusing.call_count() == 0; ++i)
    {
        call_once(fixture, "first-" + std::to_string(100 + i));
    }
    auto const refused_at = steady::now();
    for (int i = 0; steady::now() < refused_at + pause_time / 2 && i < 40; ++i)
    {
        call_once(fixture, "id-" + std::to_string(1'000 + i));
    }
    CHECK(refusing.call_count() == 1);
    // Afterwards it takes calls again.
    for (int i = 0; refusing.call_count() == 1 && steady::now() < refused_at + 10 * pause_time; ++i)
    {
        call_once(fixture, "later-" + std::to_string(10'000 + i));
    }
    CHECK(refusing.call_count() == 2);
}

// Guards against a draft that is held for most of its objective, or refused with a time at which it
// would be refused again, although no engine takes it before.
TEST_CASE("a draft is refused at once while all engines back off", "[retry-after]")
{
    constexpr std::string_view fields =
        "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
        "Plumdale-Request-Deadline-Ms: 39000\r\n";
    constexpr std::string_view refusal = "Plumdale-Not-Executed: 1\r\nRetry-After: 5\r\n";
    constexpr std::chrono::milliseconds at_once{200};
    forward_fixture fixture{2};
    auto const first = fixture.call("/draft/1", "first", fields);
    std::size_t const asked =
        &fixture.upstream_of("Plumdale-Request-Id: first") == fixture.upstreams[2].get() ? 2 : 3;
    for (std::size_t const each : {asked, 5 - asked})
    {
        scripted_upstream const& engine = *fixture.upstreams[each];
        fixture.run_until([&] { return engine.call_count() == 1; });
        engine.connections.front()->send(answer_text(503, "first", "", refusal));
    }
    auto const refused_at = steady::now();
    fixture.run_until([&] { return !first->received.empty(); });
    auto const second = fixture.call("/draft/2", "second", fields);
    fixture.run_until([&] { return !second->received.empty(); });
    CHECK(steady::now() - refused_at < at_once);
    CHECK(fixture.request_count("second") == 0);
    for (auto const& caller : {first, second})
    {
        CHECK(caller->received.starts_with("HTTP/1.1 503"));
        std::size_t const at = caller->received.find("Retry-After: ");
        REQUIRE(at != std::string::npos);
        double const delay = std::stod(caller->received.substr(at + 13));
        CHECK(delay >= 4.8);
        CHECK(delay <= 5.6);
    }
}
