#include "closed_draft.hpp"
#include "running_draft.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// The stream of a draft ends at an upstream that works on. Guards against a second upstream at work
// on the same draft.

namespace
{

/// \brief Ways in which a stream ends before the draft does.
std::vector<std::function<void(scripted_connection&)>> cuts()
{
    return {[](scripted_connection& stream) { stream.reset(); },
            [](scripted_connection& stream) { stream.close(); },
            [](scripted_connection& stream)
            {
                stream.send("40\r\nid: 4\ndata: e");
                stream.close();
            }};
}

void check_goes_on(forward_fixture& fixture, running_draft const& draft)
{
    auto const resumed = fixture.upstream_connection("Kv-From: ");
    CHECK(resumed->received.find("Last-Event-Id: 3\r\n") != std::string::npos);
    resumed->send(stream_head("id-1") + event_chunk(4) + std::string{last_chunk});
    fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(draft.has_event(4));
}

} // namespace

TEST_CASE("a draft whose stream is cut goes on once its upstream has stopped it", "[cut_streams]")
{
    for (auto const& cut : cuts())
    {
        forward_fixture fixture;
        running_draft const draft{fixture};
        cut(*draft.stream);
        auto const order = fixture.upstream_connection(stop_order);
        run_for(fixture, 450ms);
        CHECK(fixture.request_count("Kv-From: ") == 0);
        order->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
        check_goes_on(fixture, draft);
    }
}

// The common case: the process is gone, and with it the run.
TEST_CASE("a draft whose upstream refuses connections after a cut goes on at once", "[cut_streams]")
{
    forward_fixture fixture;
    running_draft const draft{fixture};
    draft.source->crash();
    check_goes_on(fixture, draft);
    CHECK(fixture.request_count(stop_order) == 0);
}

TEST_CASE("a draft whose order to stop is cut goes on once another one is answered",
          "[cut_streams]")
{
    forward_fixture fixture;
    running_draft const draft{fixture};
    draft.stream->reset();
    fixture.upstream_connection(stop_order)->reset();
    fixture.run_until([&] { return draft.source->connections_with(stop_order).size() == 2; });
    run_for(fixture, 100ms);
    CHECK(fixture.request_count("Kv-From: ") == 0);
    draft.source->connections_with(stop_order)
        .back()
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    check_goes_on(fixture, draft);
}

// The upstream stops the draft for its last copy, closes the stream and answers late: until then it
// may have closed the stream for another reason.
TEST_CASE("a draft that moves waits for a late answer to the order to stop", "[cut_streams]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    running_draft const draft{fixture};
    announce_departure(fixture, *draft.source);
    fixture.upstream_connection("\"isLast\":false")
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    auto const order = fixture.upstream_connection(stop_order);
    draft.stream->close();
    run_for(fixture, 1'500ms);
    CHECK(fixture.request_count("Kv-From: ") == 0);
    order->send(answer_text(200, "", R"({"handleId":"h-2","createdRev":3})"));
    check_goes_on(fixture, draft);
}

// Another writer's entry states a later start of an upstream that lives on.
TEST_CASE("a later start in an entry moves no draft whose upstream has not stopped it",
          "[cut_streams]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    running_draft const draft{fixture};
    list_later_start(fixture, *draft.source);
    run_for(fixture, 450ms);
    CHECK(fixture.request_count("Kv-From: ") == 0);
    draft.stream->send(event_chunk(4));
    fixture.run_until([&] { return draft.has_event(4); });
}

// Guards against a draft that waits for its caller's patience though its backup is held: its
// upstream restarted without a sign on the stream, and says so seconds after it was first asked.
TEST_CASE("an upstream is asked for its restart for as long as drafts run there", "[cut_streams]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    running_draft const draft{fixture};
    REQUIRE(backup_engine_of(fixture, draft) != nullptr);
    list_later_start(fixture, *draft.source);
    run_for(fixture, 3s);
    REQUIRE(fixture.request_count("Kv-From: ") == 0);
    request_answers answers{*draft.source};
    for (auto const& each : draft.source->connections_with(report_question))
    {
        answers.skip(each);
    }
    fixture.run_until(
        [&]
        {
            answers.send(
                report_question,
                answer_text(200, "",
                            R"({"born":)" + std::to_string(later_incarnation.value) + "}"));
            return fixture.request_count("Kv-From: ") == 1 || draft.caller->ended;
        });
    CHECK(fixture.request_count("Kv-From: ") == 1);
}

// Guards against an answer that is thrown away as it comes late: a process may be slow.
TEST_CASE("an upstream may take seconds to say that it restarted", "[cut_streams]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    running_draft const draft{fixture};
    list_later_start(fixture, *draft.source);
    auto const question = fixture.upstream_connection(report_question);
    run_for(fixture, 1'500ms);
    question->send(
        answer_text(200, "", R"({"born":)" + std::to_string(later_incarnation.value) + "}"));
    fixture.run_until([&]
                      { return fixture.request_count("Kv-From: ") == 1 || draft.caller->ended; });
    CHECK(fixture.request_count("Kv-From: ") == 1);
}

// Guards against questions without end to an upstream at which nothing of this VM runs any more.
TEST_CASE("an upstream isn't asked for its restart once its drafts have ended", "[cut_streams]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    running_draft const draft{fixture};
    list_later_start(fixture, *draft.source);
    fixture.run_until([&] { return fixture.request_count(report_question) > 0; });
    draft.stream->send(event_chunk(4) + std::string{last_chunk});
    fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    std::size_t const asked = fixture.request_count(report_question);
    run_for(fixture, 3s);
    CHECK(fixture.request_count(report_question) == asked);
}

// The upstream of a former run answers its order late. Guards against that answer being taken for
// the one of the current run's upstream, which works on.
TEST_CASE("a late answer to the order of a former run proves nothing of the current one",
          "[cut_streams]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    running_draft const draft{fixture};
    list_later_start(fixture, *draft.source);
    draft.stream->reset();
    auto const former_order = fixture.upstream_connection(stop_order);
    state_later_start(fixture, *draft.source);
    auto const resumed = fixture.upstream_connection("Kv-From: ");
    resumed->send(stream_head("id-1") + event_chunk(4));
    // Once it has gone on for some time, the end of a stream is no evidence against its request.
    run_for(fixture, transport::forward_call::proving_time + 100ms);
    resumed->send(event_chunk(5));
    fixture.run_until([&] { return draft.has_event(5); });
    resumed->reset();
    fixture.run_until([&] { return fixture.request_count(stop_order) == 2; });
    former_order->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    run_for(fixture, 200ms);
    CHECK(fixture.request_count("Kv-From: ") == 1);
}

// A copy of an earlier refusal comes where the answer to the resumption is expected.
TEST_CASE("a resumption is not sent again for a refusal without its id", "[cut_streams]")
{
    for (std::string_view const id : {"", "id-0"})
    {
        forward_fixture fixture;
        running_draft const draft{fixture};
        draft.source->crash();
        auto const resumed = fixture.upstream_connection("Kv-From: ");
        std::size_t resumptions = 0;
        resumed->send(answer_text(503, id, "", "Plumdale-Not-Executed: 1\r\n"));
        run_for(fixture, 200ms);
        for (auto const& upstream : fixture.upstreams)
        {
            resumptions += upstream->take_unanswered("Kv-From: ").size();
        }
        CHECK(resumptions == 1);
    }
}

// Guards against a draft that waits for an order to a process that never had it: its upstream's own
// word that the resumption is over is not used, though the memory is held elsewhere.
TEST_CASE("a draft whose resumption is lost with a restart goes on where its memory is held",
          "[cut_streams]")
{
    bool const is_cut_before = GENERATE(false, true);
    CAPTURE(is_cut_before);
    forward_fixture fixture;
    announce_incarnations(fixture);
    for (std::size_t i = 2; i < 5; ++i)
    {
        state::member_key const key =
            state::key_of(fixture.upstreams[i]->make_member("engine", 1).name,
                          state::incarnation{first_incarnation + i});
        fixture.core.ledger.add(key, {key, 5, 22'000, 23'000, 0});
    }
    running_draft const draft{fixture};
    draft.stream->reset();
    fixture.upstream_connection(stop_order)
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    auto const resumed = fixture.upstream_connection("Kv-From: ");
    scripted_upstream& place = fixture.upstream_of("Kv-From: ");
    REQUIRE(&place != draft.source);
    if (is_cut_before)
    {
        resumed->reset();
        fixture.run_until([&] { return !place.connections_with(stop_order).empty(); });
        place.connections_with(stop_order).back()->send(answer_text(404, "", "{}"));
    }
    restart(fixture, place);
    auto const end = std::chrono::steady_clock::now() + 6s;
    fixture.run_until(
        [&]
        {
            for (auto const& each : place.take_unanswered(stop_order))
            {
                each->send(answer_text(404, "", "{}"));
            }
            return !draft.source->connections_with("Kv-From: ").empty() || draft.caller->ended ||
                   std::chrono::steady_clock::now() >= end;
        });
    CHECK_FALSE(draft.source->connections_with("Kv-From: ").empty());
}
