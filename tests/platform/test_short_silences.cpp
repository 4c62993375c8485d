#include "forward_fixture.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr state::duration silence = 1'100ms;
constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

void run_for(forward_fixture& fixture, state::duration time)
{
    auto const end = transport::boot_now() + time;
    fixture.run_until([end] { return transport::boot_now() >= end; });
}

} // namespace

// Guards against calls that are lost, or run again, as their sound upstream was silent for a
// second.
TEST_CASE("a second's silence of an upstream costs no call that may run once", "[silence]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-101");
    auto const run = fixture.upstream_connection("id-101");
    run_for(fixture, silence);
    run->send(answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
    CHECK(caller->received.starts_with("HTTP/1.1 200"));
    CHECK(fixture.request_count("id-101") == 1);
}

TEST_CASE("a second's silence within a draft breaks nothing off", "[silence]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-101", draft_fields);
    auto const run = fixture.upstream_connection("Plumdale-Request-Id: id-101");
    run_for(fixture, silence);
    run->send(stream_head("id-101") + event_chunk(1));
    run_for(fixture, silence);
    run->send(event_chunk(2));
    run_for(fixture, silence);
    run->send(event_chunk(3) + "0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    CHECK(caller->received.find("data: e3") != std::string::npos);
    CHECK(fixture.request_count("Plumdale-Request-Id: id-101") == 1);
}

// Guards against an upstream that is ejected after a second in which it answered nobody.
TEST_CASE("an upstream that was silent for a second is used again at once", "[silence]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-101");
    scripted_upstream& silent = fixture.upstream_of("id-101");
    run_for(fixture, silence);
    silent.connections_with("id-101").front()->send(
        answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
    for (auto const& upstream : fixture.upstreams)
    {
        auto const key = state::key_of(upstream->make_member("plain", 1));
        CHECK(fixture.core.health.penalty(key, transport::boot_now()) == 0.0);
    }
    CHECK_FALSE(fixture.core.reach.is_lost());
}
