#include "peer_vm.hpp"
#include "transport/boot_clock.hpp"

#include <plumdale/protocol/peer_call.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr auto calls_through_peers = transport::forward_count::calls_through_peers;
constexpr auto peer_calls = transport::forward_count::peer_calls;
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

std::string field_of(std::string const& id)
{
    return "Plumdale-Request-Id: " + id;
}

/// \brief Sends a call, has the upstream that gets it answer, and returns what the caller received.
std::string answer_to_call(forward_fixture& fixture, std::string_view kind, std::string const& id)
{
    bool const is_draft = kind == "draft";
    auto const caller = fixture.call("/" + std::string{kind} + "/" + id, id,
                                     is_draft ? draft_fields : std::string_view{});
    std::string const field = field_of(id);
    fixture.run_until([&]
                      { return !caller->received.empty() || fixture.request_count(field) > 0; });
    if (caller->received.empty())
    {
        fixture.upstream_connection(field)->send(
            is_draft ? stream_head(id) + event_chunk(1) + "0\r\n\r\n"
                     : answer_text(200, id, "whole", signature_field));
        fixture.run_until(
            [&] {
                return caller->received.find(is_draft ? "0\r\n\r\n" : "whole") != std::string::npos;
            });
    }
    return caller->received;
}

/// \brief Probes like the daemon until the VM's paths are lost, or back.
void run_until_reach_is(forward_fixture& fixture, bool reached)
{
    fixture.run_until(
        [&]
        {
            fixture.core.prober.advance(transport::boot_now());
            return fixture.core.reach.is_lost() != reached;
        });
}

} // namespace

// Guards against refusals by a VM that lost its paths to all upstreams while its peers reach them.
TEST_CASE("calls at a VM without a path to any upstream run through a peer", "[reach]")
{
    for (lost_path const how : {lost_path::refused, lost_path::silent})
    {
        CAPTURE(static_cast<int>(how));
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        dead_address const nowhere{how};
        cut_paths(fixture, fixture.core, nowhere);
        int number = 0;
        for (std::string_view const kind : {"event", "fetch", "draft", "event", "draft", "fetch"})
        {
            std::string const id = "id-" + std::to_string(100 + ++number);
            CAPTURE(id, kind);
            CHECK(answer_to_call(fixture, kind, id).starts_with("HTTP/1.1 200"));
            CHECK(fixture.request_count(field_of(id)) == 1);
        }
    }
}

// Guards against calls that stay with a VM which has its paths back.
TEST_CASE("calls go to upstreams again when the paths are back", "[reach]")
{
    for (lost_path const how : {lost_path::refused, lost_path::silent})
    {
        CAPTURE(static_cast<int>(how));
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        dead_address const nowhere{how};
        cut_paths(fixture, fixture.core, nowhere);
        answer_to_call(fixture, "event", "id-101");
        run_until_reach_is(fixture, false);
        restore_paths(fixture, fixture.core);
        run_until_reach_is(fixture, true);
        CHECK(answer_to_call(fixture, "event", "id-102").starts_with("HTTP/1.1 200"));
        CHECK(answer_to_call(fixture, "draft", "id-103").starts_with("HTTP/1.1 200"));
        CHECK(peer.core.metrics.value(peer_calls) == 1);
    }
}

// Guards against upstreams that count as failed or cold after the VM's own paths failed.
TEST_CASE("a VM's lost paths are no failure of its upstreams", "[reach]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    answer_to_call(fixture, "event", "id-101");
    run_until_reach_is(fixture, false);
    for (int i = 0; i < 5; ++i)
    {
        auto const key = state::id_from_name<state::member_key>("i-" + std::to_string(i));
        CHECK(fixture.core.health.penalty(key, transport::boot_now()) == 0.0);
    }
}

// Guards against a dead service that is taken for a lost path, and its calls sent all over the
// fleet.
TEST_CASE("a VM that reaches the upstreams of another service has lost no path", "[reach]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::silent};
    cut_paths(fixture, fixture.core, nowhere, {0, 1});
    cut_paths(fixture, peer.core, nowhere, {0, 1});
    CHECK(answer_to_call(fixture, "event", "id-101").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(fixture.core.reach.is_lost());
    CHECK(answer_to_call(fixture, "draft", "id-102").starts_with("HTTP/1.1 200"));
    CHECK(fixture.core.metrics.value(calls_through_peers) == 0);
}

// Guards against calls that are passed from one VM without a path to the next, and back.
TEST_CASE("a peer without a path declines, and the next one is asked", "[reach]")
{
    forward_fixture fixture;
    peer_vm cut{fixture, 1};
    peer_vm sound{fixture, 2};
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    cut_paths(fixture, cut.core, nowhere);
    cut.join();
    CHECK(answer_to_call(fixture, "event", "id-101").starts_with("HTTP/1.1 503"));
    sound.join();
    for (int i = 0; i < 6; ++i)
    {
        std::string const id = "id-" + std::to_string(200 + i);
        CHECK(answer_to_call(fixture, i % 2 == 0 ? "event" : "draft", id)
                  .starts_with("HTTP/1.1 200"));
    }
    CHECK(cut.core.metrics.value(calls_through_peers) == 0);
    CHECK(sound.core.metrics.value(peer_calls) == 6);
}

// Guards against lost paths that are not noticed while most upstreams leave and can't be probed.
TEST_CASE("paths count as lost when all upstreams that take work fail", "[reach]")
{
    forward_fixture fixture;
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    std::vector<state::service_member> leaving;
    for (std::size_t const i : {2U, 3U, 4U})
    {
        leaving.push_back(fixture.upstreams[i]->make_member("engine", 1'000'000));
        leaving.back().leaving = true;
    }
    fixture.core.apply_members(leaving, "test");
    answer_to_call(fixture, "event", "id-101");
    run_until_reach_is(fixture, false);
    CHECK(fixture.core.reach.is_lost());
}

// Guards against callers that wait for a path until their time is over.
TEST_CASE("calls that no VM can send are refused at once", "[reach]")
{
    forward_fixture fixture;
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    answer_to_call(fixture, "event", "id-101");
    run_until_reach_is(fixture, false);
    for (std::string_view const kind : {"event", "fetch", "draft"})
    {
        auto const start = transport::boot_now();
        std::string const answer = answer_to_call(fixture, kind, "id-2" + std::string{kind});
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
        CHECK(transport::boot_now() - start < std::chrono::milliseconds{100});
    }
}

// Guards against a call that runs twice as its peer ended while it ran.
TEST_CASE("a call that a peer may have run is sent to no other", "[reach]")
{
    for (std::string_view const kind : {"event", "fetch", "draft"})
    {
        forward_fixture fixture;
        peer_vm first{fixture, 1};
        first.join();
        dead_address const nowhere{lost_path::refused};
        cut_paths(fixture, fixture.core, nowhere);
        std::string const id = "id-" + std::string{kind};
        auto const caller = fixture.call("/" + std::string{kind} + "/1", id,
                                         kind == "draft" ? draft_fields : std::string_view{});
        fixture.upstream_connection(field_of(id));
        peer_vm second{fixture, 2};
        second.join();
        first.drop_connections();
        fixture.run_until([&] { return !caller->received.empty(); });
        CHECK(caller->received.starts_with("HTTP/1.1 502"));
        CHECK(fixture.request_count(field_of(id)) == 1);
    }
}

// Guards against upstreams that work on for callers who left the VM without a path.
TEST_CASE("a caller that leaves ends the work at its peer's upstream", "[reach]")
{
    for (std::string_view const kind : {"event", "draft"})
    {
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        dead_address const nowhere{lost_path::refused};
        cut_paths(fixture, fixture.core, nowhere);
        std::string const id = "id-" + std::string{kind};
        auto const caller = fixture.call("/" + std::string{kind} + "/1", id,
                                         kind == "draft" ? draft_fields : std::string_view{});
        auto const run = fixture.upstream_connection(field_of(id));
        caller->reset();
        fixture.run_until([&] { return run->ended; });
        CHECK(fixture.core.calls_in_progress == 0);
        CHECK(peer.core.calls_in_progress == 0);
        CHECK(peer.core.peer_calls_in_progress == 0);
    }
}

// Guards against peers' calls at a VM that shuts down, follows another configuration, or is short
// of processor time for its own callers.
TEST_CASE("a peer takes a call only while it can run it like its own", "[reach]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    SECTION("it shuts down")
    {
        peer.core.closing_since = transport::boot_now();
    }
    SECTION("it is busy")
    {
        peer.core.loop_lag = std::chrono::seconds{1};
    }
    SECTION("it has as many calls of peers as it takes")
    {
        peer.core.peer_calls_in_progress = 256;
    }
    SECTION("it follows a newer configuration")
    {
        std::string newer = fixture.core.configuration_text;
        newer.replace(newer.find("\"version\":3"), 11, "\"version\":4");
        peer.core.apply_configuration(newer, "test");
    }
    CHECK(answer_to_call(fixture, "event", "id-101").starts_with("HTTP/1.1 503"));
    CHECK(fixture.request_count(field_of("id-101")) == 0);
    CHECK(peer.core.metrics.value(transport::forward_count::peer_calls_declined) > 0);
    peer.core.peer_calls_in_progress = 0;
}

// Guards against time that a call spent at the VM without a path and that its upstream gets again,
// and against retries that count for one VM only.
TEST_CASE("a call through a peer keeps its time, its customer and its budget", "[reach]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::silent};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller =
        fixture.call("/event/1", "id-101", "Plumdale-Request-Deadline-Ms: 1400\r\n");
    std::string const request = fixture.upstream_connection(field_of("id-101"))->received;
    std::string_view const field = "Plumdale-Request-Deadline-Ms: ";
    int const left = std::stoi(request.substr(request.find(field) + field.size()));
    CHECK(left <= 1400 - 350);
    CHECK(request.find("Plumdale-Tenant: customer") != std::string::npos);
    CHECK(request.find("Plumdale-Key") == std::string::npos);
    CHECK(fixture.core.metrics.value(transport::forward_count::repeats) == 0);
    CHECK(peer.core.metrics.value(transport::forward_count::repeats) == 0);
}

// Guards against an upstream that has its answer taken for a refusal of the peer.
TEST_CASE("an upstream's answer is never taken for a peer's refusal", "[reach]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller = fixture.call("/event/1", "id-101");
    fixture.upstream_connection(field_of("id-101"))
        ->send(answer_text(200, "id-101", "whole",
                           "Plumdale-Response-Seal: seal\r\nFleet-Answer: overloaded\r\n"));
    fixture.run_until([&] { return caller->received.find("whole") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 200"));
    CHECK(caller->received.find("Fleet-Answer") == std::string::npos);
}

// Guards against a sound VM that is overrun by calls which only a holder of the fleet's key may
// send.
TEST_CASE("a request without the fleet's key is no peer's call", "[reach]")
{
    forward_fixture fixture;
    protocol::peer_call call;
    call.configuration = 3;
    std::string const text = protocol::encode(call, "another key, sixteen letters");
    CHECK_FALSE(protocol::decode_peer_call(text, fixture.settings.fleet_key));
    CHECK(protocol::decode_peer_call(protocol::encode(call, fixture.settings.fleet_key),
                                     fixture.settings.fleet_key));
}
