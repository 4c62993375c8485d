#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
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
        if (!upstream->connections_with(id).empty())
        {
            upstream->crash();
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

/// \brief Runs the loop for a time; by default until a next crash counts as one of its own.
void pause(forward_fixture& fixture,
           state::duration time = coordination::prompt_quarantine::common_cause_time)
{
    auto const end = std::chrono::steady_clock::now() + time;
    fixture.run_until([end] { return std::chrono::steady_clock::now() > end; });
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
        pause(fixture);
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

// Guards against suspicions of parts whose upstreams live on: they reset connections for reasons of
// their own.
TEST_CASE("connections that break at upstreams that live on say nothing about parts",
          "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    for (int i = 0; i < 4; ++i)
    {
        std::string const id = "reset-" + std::to_string(i) + ".";
        auto const caller = fixture.call("/draft/" + id, id, prompt_field("g7:79,h8:900"), id);
        fixture.upstream_connection(id)->reset();
        fixture.run_until([&] { return has_answer(*caller); });
        pause(fixture);
    }
    CHECK(send_sound(fixture, "after", prompt_field("g7:79,h8:900")));
}

// Guards against a suspicion of parts whose answers go on: a draft is answered for many seconds.
TEST_CASE("a draft that goes on for a second shows that its parts are sound", "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    auto const draft = fixture.call("/draft/1", "id-1", prompt_field("g7:79,h8:900"));
    auto const upstream = fixture.upstream_connection("id-1");
    upstream->send(stream_head("id-1") + event_chunk(1));
    pause(fixture, transport::forward_call::proving_time);
    upstream->send(event_chunk(2));
    fixture.run_until([&] { return draft->received.find("data: e2") != std::string::npos; });
    for (int i = 0; i < 2; ++i)
    {
        std::string const id = "crash-" + std::to_string(i) + ".";
        auto const caller = fixture.call("/draft/" + id, id, prompt_field("g7:79,i9:1"), id);
        fixture.upstream_of(id).crash();
        fixture.run_until([&] { return has_answer(*caller); });
        pause(fixture);
    }
    CHECK(send_sound(fixture, "after", prompt_field("g7:79,j1:1")));
}

// Guards against a wrong suspicion that lasts: sound requests have the part and nobody answers
// them.
TEST_CASE("a part that is suspected wrongly is tried again and cleared", "[prompt_quarantine]")
{
    forward_fixture fixture{engines};
    for (int i = 0; i < 2; ++i)
    {
        std::string const id = "crash-" + std::to_string(i) + ".";
        auto const caller = fixture.call("/draft/" + id, id, prompt_field("g7:79,h8:900"), id);
        fixture.upstream_of(id).crash();
        fixture.run_until([&] { return has_answer(*caller); });
        pause(fixture);
    }
    auto const refused = fixture.call("/draft/x", "id-x", prompt_field("g7:79,h8:900"));
    fixture.run_until([&] { return has_answer(*refused); });
    CHECK(is_refused(*refused));
    pause(fixture, coordination::prompt_quarantine::trial_delays.front());
    CHECK(send_sound(fixture, "trial", prompt_field("g7:79,k2:900")));
    CHECK(send_sound(fixture, "after", prompt_field("g7:79,l3:900")));
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
