#include "closed_draft.hpp"
#include "peer_vm.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

bool has_answer(scripted_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

} // namespace

// Guards against whole answers that are refused, or run a second time, as they have no length.
TEST_CASE("a plain answer that ends with its connection is whole", "[closed_answers]")
{
    for (std::string const path : {"/event/1", "/fetch/1"})
    {
        CAPTURE(path);
        forward_fixture fixture;
        auto const caller = fixture.call(path, "id-1");
        auto const upstream = fixture.upstream_connection(id_field("id-1"));
        upstream->send(closed_head("id-1") + "who");
        upstream->send("le");
        upstream->close();
        run_with_reports(fixture, fixture.upstream_of(id_field("id-1")),
                         [&] { return has_answer(*caller); });
        CHECK(caller->received.starts_with("HTTP/1.1 200 "));
        CHECK(caller->received.ends_with("\r\n\r\nwhole"));
        CHECK(fixture.request_count(id_field("id-1")) == 1);
    }
}

// Guards against half an answer that is passed on as whole: its connection was reset.
TEST_CASE("a plain answer whose connection is reset is not whole", "[closed_answers]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-1");
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send(closed_head("id-1") + "half");
    auto const sent_at = std::chrono::steady_clock::now();
    fixture.run_until([&] { return std::chrono::steady_clock::now() > sent_at + 50ms; });
    upstream->reset();
    fixture.run_until([&] { return has_answer(*caller); });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(caller->received.find("half") == std::string::npos);
}

// Guards against half an answer that is passed on as whole: its process was killed within it, which
// closes the connection in order.
TEST_CASE("a plain answer whose process is killed within it is not whole", "[closed_answers]")
{
    bool const may_repeat = GENERATE(false, true);
    forward_fixture fixture;
    auto const caller = fixture.call(may_repeat ? "/fetch/1" : "/event/1", "id-1");
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send(closed_head("id-1") + "half");
    fixture.upstream_of(id_field("id-1")).stop_listening();
    upstream->close();
    fixture.run_until(
        [&] { return has_answer(*caller) || fixture.request_count(id_field("id-1")) == 2; });
    CHECK(caller->received.find("half") == std::string::npos);
    CHECK(fixture.request_count(id_field("id-1")) == (may_repeat ? 2 : 1));
    CHECK(caller->received.starts_with("HTTP/1.1 502 ") != may_repeat);
}

// Guards against a refusal without a length that counts as a call that may have run.
TEST_CASE("a refusal that ends with its connection leaves the call as not run", "[closed_answers]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-1");
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send("HTTP/1.1 503 Full\r\nPlumdale-Request-Id: id-1\r\nPlumdale-Not-Executed: 1\r\n"
                   "\r\n");
    upstream->close();
    fixture.run_until([&] { return fixture.request_count(id_field("id-1")) == 2; });
    CHECK(caller->received.empty());
}

// Guards against whole streams that look broken off to their callers.
TEST_CASE("a stream that ends with its connection after an event is whole", "[closed_answers]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.stream->send(event(4));
    draft.stream->close();
    draft.run_until_complete(fixture);
    CHECK(draft.has_event(4));
    CHECK(fixture.request_count(id_field("id-1")) == 1);
}

// Guards against half an event, or the end of a stream, where the upstream broke off.
TEST_CASE("a stream that ends inside an event, without one or with a reset is broken off",
          "[closed_answers]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    SECTION("inside an event")
    {
        closed_draft const draft{fixture};
        draft.stream->send("id: 4\ndata: e4\n");
        draft.stream->close();
        fixture.run_until([&] { return draft.caller->ended; });
        CHECK_FALSE(draft.has_event(4));
        CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
    }
    SECTION("with a reset")
    {
        closed_draft const draft{fixture};
        draft.source->crash();
        fixture.run_until([&] { return draft.caller->ended; });
        CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
    }
    SECTION("without an event")
    {
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        auto const upstream = fixture.upstream_connection(id_field("id-1"));
        upstream->send(closed_head("id-1"));
        upstream->close();
        fixture.run_until([&] { return has_answer(*caller); });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    }
}

// Guards against a resumed stream that is resumed once more after its whole end.
TEST_CASE("a resumed stream may end with its connection", "[closed_answers]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.stream->send("id: 4\ndata");
    draft.source->stop_listening();
    draft.stream->close();
    auto const resumed = fixture.upstream_connection("Last-Event-Id: 3\r\n");
    resumed->send(closed_head("id-1") + event(4) + event(5));
    resumed->close();
    run_with_reports(fixture, fixture.upstream_of("Last-Event-Id: 3\r\n"),
                     [&] { return draft.is_complete(); });
    CHECK(draft.has_event(5));
}

// Guards against a stream that ends as whole where its upstream only stopped it for a copy.
TEST_CASE("a stream that its upstream stopped for the last copy goes on", "[closed_answers]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    auto const last = order_stop(fixture, draft);
    SECTION("the copy is complete before the stream ends")
    {
        last->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":4})"));
        draft.stream->send(event(4));
        draft.stream->close();
    }
    SECTION("the stream ends before the copy is complete")
    {
        draft.stream->send(event(4));
        draft.stream->close();
        fixture.run_until([&] { return draft.has_event(4); });
        last->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":4})"));
    }
    auto const resumed = fixture.upstream_connection("Last-Event-Id: 4\r\n");
    resumed->send(closed_head("id-1") + event(5));
    resumed->close();
    run_with_reports(fixture, fixture.upstream_of("Last-Event-Id: 4\r\n"),
                     [&] { return draft.is_complete(); });
    CHECK(draft.has_event(5));
}

// Guards against a whole stream that is cut off, as the order to stop it came too late.
TEST_CASE("a stream that ended before the order to stop it is whole", "[closed_answers]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    auto const last = order_stop(fixture, draft);
    draft.stream->close();
    fixture.run_until([&] { return draft.stream->ended; });
    last->send(answer_text(404, "", "{}"));
    draft.run_until_complete(fixture);
    CHECK(fixture.request_count("Last-Event-Id: 3\r\n") == 0);
}

// Guards against a peer that takes the end of such an answer for a lost path.
TEST_CASE("an answer that ends with its connection is whole through a peer", "[closed_answers]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    bool const is_draft = GENERATE(false, true);
    auto const caller = fixture.call(is_draft ? "/draft/1" : "/event/1", "id-1",
                                     is_draft ? draft_fields : std::string_view{});
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send(closed_head("id-1") + event(1));
    upstream->close();
    run_with_reports(fixture, fixture.upstream_of(id_field("id-1")),
                     [&] { return caller->received.ends_with(is_draft ? last_chunk : event(1)); });
    CHECK(caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(caller->received.find("data: e1\n") != std::string::npos);
}
