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

// Guards against a call that is held, or refused with a time at which it would be refused again,
// although it is known that no upstream takes it before.
TEST_CASE("a call is refused at once while all upstreams back off", "[retry-after]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "first");
    std::size_t const first = &fixture.upstream_of("first") == fixture.upstreams[0].get() ? 0 : 1;
    for (std::size_t const asked : {first, 1 - first})
    {
        scripted_upstream const& upstream = *fixture.upstreams[asked];
        fixture.run_until([&] { return upstream.call_count() == 1; });
        upstream.connections.front()->send(answer_text(503, "first", "", refusal_fields));
    }
    fixture.run_until([&] { return !caller->received.empty(); });
    CHECK(caller->received.starts_with("HTTP/1.1 503"));

    auto const refused_at = steady::now();
    auto const second = fixture.call("/event/2", "second");
    fixture.run_until([&] { return !second->received.empty(); });
    CHECK(steady::now() - refused_at < pause_time / 2);
    CHECK(second->received.starts_with("HTTP/1.1 503"));
    CHECK(second->received.find("Retry-After: 0.") != std::string::npos);
    CHECK(fixture.request_count("second") == 0);
}
