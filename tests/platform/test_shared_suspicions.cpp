#include "peer_vm.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";

void switch_on(transport::forward_core& core)
{
    core.hints.suspicions = &core.suspicions;
    core.hints.zones = &core.zones;
}

state::member_key upstream(int number)
{
    return state::id_from_name<state::member_key>("i-" + std::to_string(number));
}

/// \brief Sends a call to the plain service and returns what its caller received.
std::string answer_to_event(forward_fixture& fixture, std::string const& id)
{
    auto const caller = fixture.call("/event/" + id, id);
    std::string const field = "Plumdale-Request-Id: " + id;
    fixture.run_until(
        [&]
        {
            fixture.core.zones.advance(transport::boot_now());
            fixture.core.advance_zones(transport::boot_now());
            return !caller->received.empty() || fixture.request_count(field) > 0;
        });
    if (caller->received.empty())
    {
        fixture.upstream_connection(field)->send(answer_text(200, id, "whole", signature_field));
        fixture.run_until([&] { return caller->received.find("whole") != std::string::npos; });
    }
    return caller->received;
}

/// \brief Lists a fixture's upstreams at an address of another zone, save the last ones.
void move_to_other_zone(forward_fixture const& fixture, transport::forward_core& core,
                        state::endpoint address, std::uint64_t revision, std::size_t kept = 1)
{
    std::vector<state::service_member> members;
    for (std::size_t i = 0; i + kept < fixture.upstreams.size(); ++i)
    {
        members.push_back(fixture.upstreams[i]->make_member(
            i < forward_fixture::plain_upstreams ? "plain" : "engine", revision));
        members.back().zone = "b";
        members.back().address = address.port == 0 ? members.back().address : address;
    }
    core.apply_members(members, "test");
}

} // namespace

// Guards against VMs that each find an upstream that is gone, and against a part that is off and
// decides all the same.
TEST_CASE("no call tries an upstream that a peer could not connect to", "[suspicions]")
{
    for (bool const is_on : {true, false})
    {
        CAPTURE(is_on);
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        dead_address const nowhere{lost_path::refused};
        cut_paths(fixture, fixture.core, nowhere, {0});
        cut_paths(fixture, peer.core, nowhere, {0});
        switch_on(peer.core);
        if (is_on)
        {
            switch_on(fixture.core);
        }
        peer.core.prober.probe_suspect(upstream(0));
        fixture.run_until(
            [&] { return peer.core.suspicions.is_suspected(upstream(0), transport::boot_now()); });
        auto const rows = peer.core.suspicions.unreported(transport::boot_now());
        fixture.core.suspicions.apply_update(
            peer.core.self, state::id_from_name<state::zone_id>("a"), rows, transport::boot_now());
        for (int i = 0; i < 12; ++i)
        {
            CHECK(answer_to_event(fixture, "id-" + std::to_string(100 + i))
                      .starts_with("HTTP/1.1 200"));
        }
        auto const refused =
            fixture.core.metrics.value(transport::forward_count::connections_refused);
        CHECK((refused == 0) == is_on);
        CHECK(fixture.core.suspicions.unreported(transport::boot_now()).empty());
    }
}

// Guards against a service that gets no calls any more as all its upstreams are suspected.
TEST_CASE("where all upstreams of a service are suspected, calls try them", "[suspicions]")
{
    forward_fixture fixture;
    switch_on(fixture.core);
    for (int const i : {0, 1})
    {
        fixture.core.suspicions.note(upstream(i), coordination::suspicion_kind::refused,
                                     transport::boot_now());
    }
    std::string const answer = answer_to_event(fixture, "id-101");
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against calls that try one upstream after another of a zone that is cut off, and then
// peers that are cut off like their VM.
TEST_CASE("in a zone's cut calls end at once, and go on with its end", "[suspicions]")
{
    for (lost_path const how : {lost_path::silent, lost_path::refused})
    {
        CAPTURE(static_cast<int>(how));
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        switch_on(fixture.core);
        dead_address const nowhere{how};
        move_to_other_zone(fixture, fixture.core, nowhere.endpoint(), 2'000);
        fixture.core.prober.probe_suspect(upstream(4));
        // Before the cut is seen a peer may take the call.
        answer_to_event(fixture, "id-101");
        fixture.run_until(
            [&]
            {
                fixture.core.advance_zones(transport::boot_now());
                return fixture.core.is_any_zone_cut(transport::boot_now());
            });
        auto const start = transport::boot_now();
        auto const peer_calls = peer.core.metrics.value(transport::forward_count::peer_calls);
        CHECK(answer_to_event(fixture, "id-102").starts_with("HTTP/1.1 503"));
        CHECK(transport::boot_now() - start < 100ms);
        CHECK(peer.core.metrics.value(transport::forward_count::peer_calls) == peer_calls);
        CHECK_FALSE(fixture.core.reach.is_lost());
        move_to_other_zone(fixture, fixture.core, {}, 2'001);
        fixture.run_until(
            [&]
            {
                fixture.core.advance_zones(transport::boot_now());
                return !fixture.core.is_any_zone_cut(transport::boot_now());
            });
        CHECK(answer_to_event(fixture, "id-103").starts_with("HTTP/1.1 200"));
    }
}

// Guards against a cut that is forgotten for some milliseconds as the connections that showed it
// time out together.
TEST_CASE("calls end at once for as long as a zone is cut", "[suspicions]")
{
    for (lost_path const how : {lost_path::silent, lost_path::refused})
    {
        CAPTURE(static_cast<int>(how));
        forward_fixture fixture;
        switch_on(fixture.core);
        dead_address const nowhere{how};
        // All three upstreams there are probed as soon as the first one is in doubt.
        move_to_other_zone(fixture, fixture.core, nowhere.endpoint(), 2'000, 2);
        fixture.core.prober.probe_suspect(upstream(4));
        answer_to_event(fixture, "id-101");
        fixture.run_until(
            [&]
            {
                fixture.core.advance_zones(transport::boot_now());
                return fixture.core.is_any_zone_cut(transport::boot_now());
            });
        auto const cut_at = transport::boot_now();
        for (int i = 200; transport::boot_now() < cut_at + 1s; ++i)
        {
            auto const start = transport::boot_now();
            CHECK(answer_to_event(fixture, "id-" + std::to_string(i)).starts_with("HTTP/1.1 503"));
            CHECK(transport::boot_now() - start < 100ms);
            fixture.run_until([&] { return transport::boot_now() >= start + 10ms; });
        }
        CHECK(fixture.core.metrics.value(transport::forward_count::zone_cuts) == 1);
    }
}
