#include "peer_vm.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

std::string brittle_fields(std::string_view bound)
{
    return "Plumdale-Response-Seal: seal\r\nServer-Brittle: " + std::string{bound} + "\r\n";
}

/// \brief Has each plain upstream answer calls until the VM knows what refusals it bears.
void learn_bounds(forward_fixture& fixture, std::string_view bound)
{
    auto const key = [](std::size_t i)
    {
        return state::id_from_name<state::member_key>("i-" + std::to_string(i));
    };
    for (int i = 0; !fixture.core.refusal_limits.known().limit_of(key(0)) ||
                    !fixture.core.refusal_limits.known().limit_of(key(1));
         ++i)
    {
        std::string const id = "first-" + std::to_string(100 + i);
        auto const caller = fixture.call("/event/" + id, id);
        fixture.upstream_connection(id)->send(answer_text(200, id, "", brittle_fields(bound)));
        fixture.run_until([&] { return !caller->received.empty(); });
    }
}

} // namespace

// Guards against more requests at a brittle upstream than it may refuse: first ones and hedges.
TEST_CASE("a brittle upstream never has more to refuse than it bears", "[refusals]")
{
    forward_fixture fixture;
    learn_bounds(fixture, "3");
    std::vector<std::shared_ptr<scripted_caller>> callers;
    // Four fifths of three are two: open at once, and two more a window after those are given up.
    constexpr std::size_t most = 4;
    std::array<std::size_t, 2> const before{fixture.upstreams[0]->call_count(),
                                            fixture.upstreams[1]->call_count()};
    for (int i = 0; i < 20; ++i)
    {
        std::string const id = "id-" + std::to_string(100 + i);
        callers.push_back(fixture.call(i % 2 == 0 ? "/event/" + id : "/fetch/" + id, id));
    }
    // All calls are refused, hedged or given up within their time.
    fixture.run_until(
        [&]
        {
            CHECK(fixture.upstreams[0]->call_count() <= before[0] + most);
            CHECK(fixture.upstreams[1]->call_count() <= before[1] + most);
            return std::all_of(callers.begin(), callers.end(),
                               [](auto const& each) { return !each->received.empty(); });
        });
    CHECK(fixture.upstreams[0]->call_count() > before[0]);
    CHECK(fixture.upstreams[1]->call_count() > before[1]);
}

// Guards against callers that are refused by a VM whose share is nothing, though other VMs have
// one.
TEST_CASE("a VM without a share of a brittle upstream has a peer send its calls", "[refusals]")
{
    forward_fixture fixture;
    std::vector<std::unique_ptr<peer_vm>> peers;
    for (unsigned number = 1; number <= 6; ++number)
    {
        peers.push_back(std::make_unique<peer_vm>(fixture, number));
        peers.back()->join();
    }
    learn_bounds(fixture, "1");
    fixture.core.refusal_limits.sweep();
    auto const key = [](std::size_t i)
    {
        return state::id_from_name<state::member_key>("i-" + std::to_string(i));
    };
    for (int i = 0; i < 8; ++i)
    {
        std::string const id = "id-" + std::to_string(100 + i);
        auto const caller = fixture.call("/event/" + id, id);
        std::string const field = "Plumdale-Request-Id: " + id;
        fixture.upstream_connection(field)->send(
            answer_text(200, id, "whole", brittle_fields("1")));
        fixture.run_until([&] { return caller->received.find("whole") != std::string::npos; });
        CHECK(fixture.request_count(field) == 1);
    }
    // By its id this VM is of the lowest rank for neither upstream.
    REQUIRE(fixture.core.refusals.share_of(key(0)) == 0);
    REQUIRE(fixture.core.refusals.share_of(key(1)) == 0);
    CHECK(fixture.core.metrics.value(transport::forward_count::calls_through_peers) == 8);
}

// Guards against a call that ran at a peer, and that the peer declined as it could not retry it.
TEST_CASE("a peer doesn't decline a call that it may have run", "[refusals]")
{
    forward_fixture fixture;
    peer_vm first{fixture, 1};
    first.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller = fixture.call("/fetch/1", "id-101");
    auto const run = fixture.upstream_connection("Plumdale-Request-Id: id-101");
    for (std::string_view const name : {"i-0", "i-1"})
    {
        auto const key = state::id_from_name<state::member_key>(name);
        first.core.refusal_limits.answered(key, 1.0);
        first.core.refusals.note_sent(key);
    }
    peer_vm second{fixture, 2};
    second.join();
    run->send(answer_text(500, "id-101", "", brittle_fields("1")));
    fixture.run_until([&] { return !caller->received.empty(); });
    CHECK(caller->received.starts_with("HTTP/1.1 502"));
    CHECK(fixture.request_count("Plumdale-Request-Id: id-101") == 1);
}

TEST_CASE("peers are informed of what an upstream bears", "[refusals]")
{
    forward_fixture fixture;
    learn_bounds(fixture, "12");
    auto const reported = fixture.core.refusal_limits.known().unreported(transport::boot_now());
    REQUIRE(reported.size() == 2);
    CHECK(reported.front().per_second == 12.0);
}

// Guards against arrivals beyond the first that no VM has counted as repeats.
TEST_CASE("a call that a peer declines after a refused send is counted as a repeat", "[refusals]")
{
    forward_fixture fixture;
    peer_vm first{fixture, 1};
    auto const earned_at = transport::boot_now() + std::chrono::milliseconds{600};
    for (int i = 0; i < 10; ++i)
    {
        first.core.note_call("plain");
    }
    fixture.run_until([&] { return transport::boot_now() >= earned_at; });
    first.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller = fixture.call("/event/1", "id-101");
    auto const sent = fixture.upstream_connection("Plumdale-Request-Id: id-101");
    for (std::string_view const name : {"i-0", "i-1"})
    {
        auto const key = state::id_from_name<state::member_key>(name);
        first.core.refusal_limits.answered(key, 1.0);
        first.core.refusals.note_sent(key);
    }
    peer_vm second{fixture, 2};
    second.join();
    sent->send(
        answer_text(503, "id-101", "", brittle_fields("1") + "Plumdale-Not-Executed: 1\r\n"));
    fixture.run_until(
        [&] {
            return !caller->received.empty() ||
                   fixture.request_count("Plumdale-Request-Id: id-101") == 2;
        });
    CAPTURE(caller->received, first.core.metrics.value(transport::forward_count::repeats),
            first.core.metrics.value(transport::forward_count::repeats_denied));
    REQUIRE(fixture.request_count("Plumdale-Request-Id: id-101") == 2);
    using transport::forward_count;
    auto const kept = [](transport::forward_core const& core)
    {
        return core.metrics.value(forward_count::repeats);
    };
    CHECK(kept(fixture.core) + kept(first.core) + kept(second.core) == 1);
}
