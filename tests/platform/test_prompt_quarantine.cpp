#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr int engines = 24;
/// \brief Requests of the test: far more than may reach upstreams.
constexpr int attempts = 16;
/// \brief Upstreams that a part may crash before it has to be known, and requests after that.
constexpr std::size_t max_requests = 5 + 3;

std::string prompt_field(std::string_view parts)
{
    return "Plumdale-Token-Usage: 2800,900\r\nPlumdale-Prompt-Prefix: " + std::string{parts} +
           "\r\n";
}

/// \brief Returns the fields of a request whose prompt has the part that crashes upstreams.
std::string crashing_fields(int number)
{
    return prompt_field("a1:79,bad:800,c" + std::to_string(number) + ":1900");
}

bool has_answer(scripted_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

bool is_refused(scripted_caller const& caller)
{
    return caller.received.starts_with("HTTP/1.1 503 ");
}

/// \brief Crashes the upstreams that run requests with `id`; returns how many.
std::size_t crash_upstreams_of(forward_fixture& fixture, std::string const& id)
{
    std::size_t crashed = 0;
    for (auto const& upstream : fixture.upstreams)
    {
        for (auto const& connection : upstream->connections_with(id))
        {
            connection->reset();
            ++crashed;
        }
    }
    return crashed;
}

/// \brief Sends a request and lets its upstream answer it; returns whether it reached one.
bool send_sound(forward_fixture& fixture, std::string const& id, std::string_view fields)
{
    auto const caller = fixture.call("/draft/" + id, id, fields, id);
    fixture.run_until([&] { return has_answer(*caller) || fixture.request_count(id) > 0; });
    if (fixture.request_count(id) == 0)
    {
        return false;
    }
    fixture.upstream_connection(id)->send(stream_head(id) + event_chunk(1) + "0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    return true;
}

/// \brief Sends requests with the part, no two alike, with sound ones between them; returns how
/// many reached an upstream.
std::size_t send_crashing(forward_fixture& fixture, std::string const& path)
{
    std::size_t reached = 0;
    for (int i = 0; i < attempts; ++i)
    {
        std::string const id = "bad-" + std::to_string(i) + ".";
        auto const caller = fixture.call(path + id, id, crashing_fields(i), id);
        fixture.run_until(
            [&] { return has_answer(*caller) || caller->ended || fixture.request_count(id) > 0; });
        reached += crash_upstreams_of(fixture, id);
        fixture.run_until([&] { return has_answer(*caller) || caller->ended; });
        send_sound(fixture, "sound-" + std::to_string(i) + ".", prompt_field("a1:79,d4:900"));
    }
    return reached;
}

} // namespace

// Guards against a part of prompts that crashes each upstream: no two requests with it are alike,
// so that they crash one upstream after the other.
TEST_CASE("streams with a part that crashes upstreams soon reach no more of them",
          "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    CHECK(send_crashing(fixture, "/draft/") <= max_requests);
    auto const again = fixture.call("/draft/again", "id-again", crashing_fields(99), "again");
    fixture.run_until([&] { return has_answer(*again); });
    CHECK(is_refused(*again));
}

// Guards against calls of another kind that go past the check: plain answers have no first event.
TEST_CASE("plain calls with a part that crashes upstreams soon reach no more of them",
          "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    CHECK(send_crashing(fixture, "/ask/") <= max_requests);
}

// Guards against refusals by customer, first part or session: sound requests share them.
TEST_CASE("requests with the other parts of a crashing prompt are sent on", "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    send_crashing(fixture, "/draft/");
    CHECK(send_sound(fixture, "first-part", prompt_field("a1:79,d4:900")));
    CHECK(send_sound(fixture, "other-part", prompt_field("a1:79,e5:800,f6:10")));
    CHECK(send_sound(fixture, "no-parts", "Plumdale-Token-Usage: 2800,900\r\n"));
}
