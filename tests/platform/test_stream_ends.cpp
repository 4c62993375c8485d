#include "closed_draft.hpp"
#include "peer_vm.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// A stream without length or chunks is closed in order before its last event. Guards against part
// of a stream that looks complete.

namespace
{

using connection_ptr = std::shared_ptr<scripted_connection>;

constexpr std::string_view resumption = "Kv-From: ";

std::string answer_with_status(std::string_view status, std::string_view body)
{
    return "HTTP/1.1 " + std::string{status} +
           " Text\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

struct order_end
{
    std::string_view what;
    std::function<void(scripted_connection&)> happens;
};

/// \brief What may become of an order that took effect.
std::vector<order_end> lost_answers()
{
    auto const sends = [](std::string text)
    {
        return [text = std::move(text)](scripted_connection& order)
        {
            order.send(text);
        };
    };
    return {{"closed",
             [](scripted_connection& order)
             {
                 order.close();
             }},
            {"reset",
             [](scripted_connection& order)
             {
                 order.reset();
             }},
            {"cut",
             [](scripted_connection& order)
             {
                 order.send("HTTP/1.1 200 Text\r\nContent-Length: 40\r\n\r\n{\"handleId\":");
                 order.close();
             }},
            {"garbled", sends("\x01\x02 no answer\r\n\r\n")},
            {"no handle", sends(answer_with_status("200", "{}"))},
            {"500", sends(answer_with_status("500", ""))},
            {"000", sends(answer_with_status("000", ""))},
            {"600", sends(answer_with_status("600", ""))},
            {"409", sends(answer_with_status("409", ""))},
            {"503 without a handle", sends(answer_with_status("503", ""))}};
}

/// \brief Waits until the caller is told an end, or the draft goes on elsewhere.
void run_until_decided(forward_fixture& fixture, closed_draft const& draft)
{
    fixture.run_until(
        [&] {
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(resumption) > 0;
        });
}

/// \brief From now on the upstream lives and knows no such run; `lost` stays without an answer.
void run_with_unknown_run(forward_fixture& fixture, closed_draft const& draft,
                          connection_ptr const& lost)
{
    request_answers answers{*draft.source};
    answers.skip(lost);
    fixture.run_until(
        [&]
        {
            answers.send(stop_order, answer_with_status("404", "{}"));
            answers.send(report_question, answer_with_status("200", "{}"));
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(resumption) > 0;
        });
}

/// \brief From now on the upstream gives this answer to questions for its report. Waits until the
/// caller is told an end, or the upstream is ordered to stop once more than `orders` times.
void run_with_report(forward_fixture& fixture, closed_draft const& draft, std::string_view answer,
                     std::size_t orders = 0)
{
    request_answers answers{*draft.source};
    fixture.run_until(
        [&]
        {
            answers.send(report_question, answer);
            return draft.caller->ended || draft.is_complete() ||
                   draft.source->connections_with(stop_order).size() > orders;
        });
}

/// \brief The draft goes on after its third event, and is complete then.
void check_goes_on(forward_fixture& fixture, closed_draft const& draft)
{
    CHECK_FALSE(draft.is_complete());
    REQUIRE(fixture.request_count(resumption) == 1);
    auto const resumed = fixture.upstream_connection(resumption);
    CHECK(resumed->received.find("Last-Event-Id: 3\r\n") != std::string::npos);
    resumed->send(stream_head("id-1") + event_chunk(4) + std::string{last_chunk});
    fixture.run_until([&] { return draft.is_complete(); });
    CHECK(draft.has_event(4));
}

} // namespace

TEST_CASE("a stream that is closed after an order without a sound answer goes on elsewhere",
          "[stream_ends]")
{
    for (auto const& [what, happens] : lost_answers())
    {
        CAPTURE(what);
        forward_fixture fixture;
        fill_engines(fixture);
        closed_draft const draft{fixture};
        auto const order = order_stop(fixture, draft);
        happens(*order);
        draft.stream->close();
        run_with_unknown_run(fixture, draft, order);
        check_goes_on(fixture, draft);
    }
}

TEST_CASE("a stream that is closed before its order's answer is lost goes on elsewhere",
          "[stream_ends]")
{
    for (auto const& [what, happens] : lost_answers())
    {
        CAPTURE(what);
        forward_fixture fixture;
        fill_engines(fixture);
        closed_draft const draft{fixture};
        auto const order = order_stop(fixture, draft);
        draft.stream->close();
        run_for(fixture, 20ms);
        happens(*order);
        run_with_unknown_run(fixture, draft, order);
        check_goes_on(fixture, draft);
    }
}

// The first order took effect, so the second finds no run.
TEST_CASE("a later order that finds no run proves no end after a lost one", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    auto const first = order_stop(fixture, draft);
    first->close();
    fixture.run_until([&] { return draft.source->connections_with(stop_order).size() == 2; });
    draft.stream->close();
    run_with_unknown_run(fixture, draft, first);
    check_goes_on(fixture, draft);
}

// The order to a former run is still on its way when the generation is back at that upstream.
TEST_CASE("an open order to a former run may stop a later one at the same upstream",
          "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->reset();
    fixture.upstream_connection(stop_order)->close();
    fixture.run_until([&] { return draft.source->connections_with(stop_order).size() == 2; });
    // Stopped without a complete copy: its memory is still at the source.
    draft.source->connections_with(stop_order)
        .back()
        ->send(answer_with_status("503", R"({"handleId":"h-2","createdRev":3})"));
    auto const resumed = fixture.upstream_connection(resumption);
    REQUIRE(&fixture.upstream_of(resumption) == draft.source);
    resumed->send(closed_head("id-1") + event(4));
    fixture.run_until([&] { return draft.has_event(4); });
    resumed->close();
    run_with_report(fixture, draft, answer_with_status("200", "{}"), 2);
    CHECK_FALSE(draft.is_complete());
}

TEST_CASE("a stream whose process is killed after an event goes on from its backup",
          "[stream_ends]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.source->stop_listening();
    draft.stream->close();
    run_until_decided(fixture, draft);
    check_goes_on(fixture, draft);
}

TEST_CASE("a stream whose process is killed after an event is broken off without a backup",
          "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.source->stop_listening();
    draft.stream->close();
    fixture.run_until([&] { return draft.caller->ended || draft.is_complete(); });
    CHECK_FALSE(draft.is_complete());
}

// The process that listens after the close isn't the one that ran it.
TEST_CASE("a stream is not complete as another process listens at its upstream's address",
          "[stream_ends]")
{
    bool const states_start = GENERATE(false, true);
    forward_fixture fixture;
    announce_incarnations(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    auto const later = R"({"born":)" + std::to_string(first_incarnation + 60'000) + "}";
    run_with_report(fixture, draft,
                    states_start ? answer_with_status("200", later)
                                 : answer_with_status("421", ""));
    CHECK_FALSE(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 1);
}

// The upstream's process stands still, or the path to it is silent.
TEST_CASE("a stream whose upstream says nothing after the close is not complete", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    fixture.run_until(
        [&] {
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(stop_order) > 0;
        });
    CHECK_FALSE(draft.is_complete());
}

// An order that reaches the upstream twice stops the run there, and later the next one.
TEST_CASE("an order that was carried out may stop a later run at the same upstream",
          "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->reset();
    fixture.upstream_connection(stop_order)
        ->send(answer_with_status("503", R"({"handleId":"h-2","createdRev":3})"));
    auto const resumed = fixture.upstream_connection(resumption);
    REQUIRE(&fixture.upstream_of(resumption) == draft.source);
    resumed->send(closed_head("id-1") + event(4));
    fixture.run_until([&] { return draft.has_event(4); });
    resumed->close();
    run_with_report(fixture, draft, answer_with_status("200", "{}"), 1);
    CHECK_FALSE(draft.is_complete());
}

// An upstream ends its work at the time that it is told, and lives on.
TEST_CASE("a stream that is closed as the time of its run is over is not complete", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    auto const caller = fixture.call("/draft/1", "id-1",
                                     "Plumdale-Token-Usage: 3000,1800\r\n"
                                     "Plumdale-Request-Deadline-Ms: 700\r\n");
    auto const asked_at = std::chrono::steady_clock::now();
    scripted_upstream& source = fixture.upstream_of(id_field("id-1"));
    auto const stream = source.connections_with(id_field("id-1")).front();
    stream->send(closed_head("id-1") + event(1));
    fixture.run_until([&] { return std::chrono::steady_clock::now() > asked_at + 680ms; });
    stream->close();
    run_with_reports(fixture, source,
                     [&] { return caller->ended || caller->received.ends_with(last_chunk); });
    CHECK_FALSE(caller->received.ends_with(last_chunk));
}

// A process that leaves may close its streams and answer once more before it ends.
TEST_CASE("a stream that is closed as its upstream's time is over is not complete", "[stream_ends]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.stream->close();
    run_with_report(fixture, draft,
                    answer_with_status("200", R"({"state":"draining","leaves_ms":400})"));
    CHECK_FALSE(draft.is_complete());
}

TEST_CASE("an earlier process at its upstream's address proves no end", "[stream_ends]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    auto const earlier = R"({"born":)" + std::to_string(first_incarnation - 60'000) + "}";
    run_with_report(fixture, draft, answer_with_status("200", earlier));
    CHECK_FALSE(draft.is_complete());
}

// Guards against a whole stream that is broken off: its caller's patience counted while its end was
// asked for.
TEST_CASE("a stream that was silent for long before its end is complete", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    run_for(fixture, 7'300ms);
    REQUIRE_FALSE(draft.caller->ended);
    draft.stream->close();
    run_with_reports(fixture, *draft.source,
                     [&] { return draft.caller->ended || draft.is_complete(); });
    CHECK(draft.is_complete());
}

// Guards against a whole stream that is broken off: an upstream with too many connections resets
// new ones, and all questions were over within a millisecond.
TEST_CASE("a question whose connections are reset for a moment is asked again", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    auto const begin = std::chrono::steady_clock::now();
    request_answers answers{*draft.source};
    fixture.run_until(
        [&]
        {
            for (auto const& each : draft.source->connections_with(report_question))
            {
                if (std::chrono::steady_clock::now() < begin + 60ms)
                {
                    answers.skip(each);
                    each->reset();
                }
            }
            answers.send(report_question, answer_with_status("200", "{}"));
            return draft.caller->ended || draft.is_complete();
        });
    CHECK(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 0);
}

TEST_CASE("a resumed stream that is closed without an event is not complete", "[stream_ends]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.source->crash();
    auto const resumed = fixture.upstream_connection(resumption);
    resumed->send(closed_head("id-1"));
    resumed->close();
    fixture.run_until(
        [&] {
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(stop_order) > 0;
        });
    CHECK_FALSE(draft.is_complete());
}

TEST_CASE("an HTTP/1.0 answer without a body is no stream", "[stream_ends]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send("HTTP/1.0 200 OK\r\nPlumdale-Request-Id: id-1\r\nPlumdale-Response-Seal: s\r\n"
                   "Content-Type: text/event-stream\r\n\r\n");
    upstream->close();
    fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
}

// A VM turns what it passes on for a peer into chunks, whose last one looks like an end.
TEST_CASE("an unproved end is no end through a peer", "[stream_ends]")
{
    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.source->stop_listening();
    draft.stream->close();
    run_until_decided(fixture, draft);
    CHECK_FALSE(draft.is_complete());
}
