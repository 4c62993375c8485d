#include "running_draft.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// An answer ends at a limit that is not its upstream's. Guards against one that looks whole, and
// against an upstream that works on for nobody.

namespace
{

constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view request_line = "Plumdale-Request-Id: id-101";

} // namespace

TEST_CASE("a stream ends unfinished as its caller's time is over", "[ended_answers]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-101",
                                     "Plumdale-Token-Usage: 300,20\r\n"
                                     "Plumdale-Request-Deadline-Ms: 1500\r\n");
    auto const called_at = transport::boot_now();
    auto const run = fixture.upstream_connection(request_line);
    run->send(stream_head("id-101") + event_chunk(1));
    fixture.run_until([&] { return caller->ended && run->ended; });
    CHECK(transport::boot_now() - called_at >= 1'450ms);
    CHECK(caller->received.find("data: e1") != std::string::npos);
    CHECK_FALSE(caller->received.ends_with(last_chunk));
    CHECK(fixture.request_count("Kv-From: ") == 0);
}

TEST_CASE("a stream ends unfinished as its process ends", "[ended_answers]")
{
    forward_fixture fixture;
    running_draft const draft{fixture};
    fixture.cut_channels();
    fixture.run_until([&] { return draft.caller->ended && draft.stream->ended; });
    CHECK(draft.has_event(3));
    CHECK_FALSE(draft.caller->received.ends_with(last_chunk));
    CHECK(fixture.core.calls_in_progress == 0);
}

TEST_CASE("a call without an answer is told nothing by a process that ends", "[ended_answers]")
{
    std::string const kind = GENERATE("event", "fetch", "draft");
    forward_fixture fixture;
    auto const caller = fixture.call("/" + kind + "/1", "id-101", draft_fields);
    auto const run = fixture.upstream_connection(request_line);
    fixture.cut_channels();
    fixture.run_until([&] { return caller->ended && run->ended; });
    CHECK(caller->received.empty());
    CHECK(fixture.request_count(request_line) == 1);
}
