#include "moved_draft.hpp"
#include "transport/boot_clock.hpp"

#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/endpoint_text.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

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

namespace
{

/// \brief The first order to stop is answered late, and a second one finds no run: the draft is
/// being resumed at its first copy. Returns that resumption.
std::shared_ptr<scripted_connection> resume_with_a_stop_open(forward_fixture& fixture,
                                                             moved_draft& moved)
{
    moved.copy_first();
    moved.stop();
    fixture.run_until([&] { return fixture.request_count(stop_order) == 2; });
    moved.draft.source->connections_with(stop_order).back()->send(answer_text(404, "", "{}"));
    std::vector<std::shared_ptr<scripted_connection>> sent;
    fixture.run_until(
        [&]
        {
            sent = moved.destination().take_unanswered(resumption);
            return !sent.empty();
        });
    return sent.front();
}

/// \brief Refuses resumptions until one names the memory of the late answer at its source.
bool asks_for_late_memory(forward_fixture& fixture, moved_draft& moved)
{
    std::string const named =
        std::string{resumption} +
        protocol::to_text(moved.draft.source->make_member("engine", 1).address) + "/h-2";
    auto const end = std::chrono::steady_clock::now() + 6s;
    bool is_asked = false;
    fixture.run_until(
        [&]
        {
            for (auto const& upstream : fixture.upstreams)
            {
                for (auto const& each : upstream->take_unanswered(resumption))
                {
                    is_asked = is_asked || each->received.find(named) != std::string::npos;
                    each->send(answer_text(503, "id-1", "", "Plumdale-Not-Executed: 1\r\n"));
                }
            }
            return is_asked || moved.draft.caller->ended || std::chrono::steady_clock::now() >= end;
        });
    return is_asked;
}

} // namespace

TEST_CASE("a stop answered during a resumption that is refused names the memory", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    auto const sent = resume_with_a_stop_open(fixture, moved);
    moved.answer_stop();
    moved.run_for(50ms);
    sent->send(answer_text(503, "id-1", "", "Plumdale-Not-Executed: 1\r\n"));
    CHECK(asks_for_late_memory(fixture, moved));
}

TEST_CASE("a stop answered after a resumption was refused names the memory", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    auto const sent = resume_with_a_stop_open(fixture, moved);
    sent->send(answer_text(503, "id-1", "", "Plumdale-Not-Executed: 1\r\n"));
    moved.run_for(20ms);
    moved.answer_stop();
    CHECK(asks_for_late_memory(fixture, moved));
}

// Another writer's entry, or an operator's order of evacuation, hides the only place for a moment.
TEST_CASE("a stopped draft goes on though the entry of its place is unreadable for a moment",
          "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    moved.run_for(700ms);
    state::service_member const place = moved.destination().make_member("engine", 12);
    fixture.core.apply_unusable_entries(
        std::array{protocol::unusable_entry{place.name, 9, "slots"}}, "test");
    moved.answer_stop();
    moved.run_for(400ms);
    CHECK_FALSE(moved.draft.caller->ended);
    fixture.core.apply_members(std::array{place}, "test");
    moved.resume_to_end();
    CHECK(moved.is_whole());
}

// Guards against descriptors that orders keep for nobody, and orders that stop nothing any more.
TEST_CASE("orders to stop a draft end with its caller", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.stop();
    moved.run_for(6s);
    auto const orders = moved.draft.source->connections_with(stop_order);
    REQUIRE(orders.size() > 1);
    moved.draft.caller->close();
    auto const end = std::chrono::steady_clock::now() + 2s;
    fixture.run_until([&] { return std::chrono::steady_clock::now() >= end; });
    for (auto const& each : orders)
    {
        CHECK(each->ended);
    }
}

// Guards against a draft that is stopped for a place which asked this VM to send nothing for longer
// than memory is kept.
TEST_CASE("a draft is not stopped for a place that backs off", "[moved_streams]")
{
    forward_fixture fixture;
    moved_draft moved{fixture};
    moved.copy_first();
    moved.run_for(50ms);
    auto const place = state::key_of(moved.destination().make_member("engine", 1));
    auto const now = transport::boot_now();
    fixture.core.backoffs.requested(place, 30s, now);
    fixture.core.backoffs.note_sent(place, now);
    moved.run_for(2'500ms);
    CHECK(fixture.request_count(stop_order) == 0);
    bool const is_copied_elsewhere = fixture.request_count(first_copy_order) > 1;
    CHECK(is_copied_elsewhere);
}
