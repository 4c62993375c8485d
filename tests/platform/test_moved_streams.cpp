#include "moved_draft.hpp"

#include <plumdale/protocol/digest.hpp>

#include <catch2/catch.hpp>

#include <chrono>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// A draft of a leaving upstream was ordered to stop by this VM. Guards against a caller who loses
// it though there is time, and its memory is held.

TEST_CASE("a stopped draft goes on though resumptions are refused for a while", "[moved_streams]")
{
    auto const refused_for = GENERATE(150ms, 400ms, 1'000ms);
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    moved.answer_stop();
    CHECK(moved.refuse_resumptions_for(refused_for) > 0);
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

TEST_CASE("a stopped draft goes on though the order to stop it is answered late", "[moved_streams]")
{
    auto const answered_after = GENERATE(1'000ms, 3'000ms);
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    moved.run_for(answered_after);
    CHECK_FALSE(moved.draft.caller->ended);
    moved.answer_stop();
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

// The answer to the order that was carried out is lost; a later one says that there is no such run.
TEST_CASE("a stopped draft goes on from its first copy though the answer to its stop is lost",
          "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    moved.order->reset();
    fixture.run_until([&] { return fixture.request_count(stop_order) == 2; });
    moved.draft.source->connections_with(stop_order).back()->send(answer_text(404, "", "{}"));
    CHECK(moved.refuse_resumptions_for(300ms) > 0);
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

TEST_CASE("a draft is copied elsewhere when the place of its copy leaves before it is stopped",
          "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.run_for(50ms);
    scripted_upstream& first = moved.destination();
    announce_departure(fixture, first);
    fixture.run_until([&] { return fixture.request_count(first_copy_order) == 2; });
    CHECK(&moved.destination() != &first);
    moved.copy_first();
    moved.stop();
    moved.answer_stop();
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

TEST_CASE("a running draft is not stopped while no repeat is left for it", "[moved_streams]")
{
    forward_fixture fixture;
    fixture.settings.retry_limit = {0.0, 0.0, 10s};
    moved_draft moved{fixture};
    moved.copy_first();
    moved.run_for(2'500ms);
    CHECK(fixture.request_count(stop_order) == 0);
    moved.draft.stream->send(event_chunk(4) + "0\r\n\r\n");
    fixture.run_until([&] { return moved.is_whole() || moved.draft.caller->ended; });
    CHECK(moved.is_whole());
}
// The place of the copy announces its leaving between the stop and the resumption: it serves on for
// two seconds, and the draft leaves it again.
TEST_CASE("a stopped draft goes on at an upstream whose notice to leave is new", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    announce_departure(fixture, moved.destination());
    moved.answer_stop();
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

// Other upstreams end under the same request, and a peer says so between the stop and the
// resumption. Guards against a run that this VM stopped and then refuses to go on with.
TEST_CASE("a stopped draft goes on though its request is refused meanwhile", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    state::request_digest const request =
        protocol::digest_of_request("POST", "a.example", "/draft/1", "customer", "");
    for (std::string_view const name : {"i-100", "i-101", "i-102"})
    {
        coordination::request_evidence const ended{
            request, state::id_from_name<state::member_key>(name), {}};
        fixture.core.quarantine.apply_updates({&ended, 1});
    }
    REQUIRE(fixture.core.quarantine.refuses_request(request));
    moved.answer_stop();
    CHECK(moved.refuse_resumptions_for(300ms) > 0);
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

// Guards against a run that this VM stops though no number says where it would go on.
TEST_CASE("a draft with an event without a number is not stopped", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.draft.stream->send("9\r\ndata: b\n\n\r\n");
    fixture.run_until(
        [&] { return moved.draft.caller->received.find("data: b\n") != std::string::npos; });
    moved.copy_first();
    moved.run_for(2'500ms);
    CHECK(fixture.request_count(stop_order) == 0);
    moved.draft.stream->send(event_chunk(4) + "0\r\n\r\n");
    fixture.run_until([&] { return moved.is_whole() || moved.draft.caller->ended; });
    CHECK(moved.is_whole());
}
