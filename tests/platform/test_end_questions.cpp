#include "closed_draft.hpp"
#include "short_objective.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// An answer without length or chunks is closed in order, and its upstream says late, or never, that
// its process lives. Guards against a whole answer that is broken off or run again, and against a
// part of one that looks complete.

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::string_view resumption = "Kv-From: ";
/// \brief Patience of the callers of `short_objective`.
constexpr auto short_patience = 2s;

/// \brief Answers the questions of one upstream some time after they came.
class late_reports
{
public:
    late_reports(scripted_upstream& upstream, state::duration late)
        : upstream_{upstream}, late_{late}
    {
    }

    void send(std::string const& answer)
    {
        auto const now = steady::now();
        for (auto const& each : upstream_.connections_with(report_question))
        {
            auto const came_at = came_at_.try_emplace(each, now).first->second;
            if (now - came_at >= late_ && answered_.insert(each).second)
            {
                each->send(answer);
            }
        }
    }

private:
    scripted_upstream& upstream_;
    state::duration late_;
    std::map<std::shared_ptr<scripted_connection>, steady::time_point> came_at_;
    std::set<std::shared_ptr<scripted_connection>> answered_;
};

std::string report(std::string_view body = "{}")
{
    return answer_text(200, "", body);
}

bool has_answer(scripted_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

/// \brief Lets time pass until the caller is told an end.
void run_until_told(forward_fixture& fixture, closed_draft const& draft)
{
    fixture.run_until([&] { return draft.caller->ended || draft.is_complete(); });
}

/// \brief The draft goes on after its third event, and is complete then.
void check_goes_on(forward_fixture& fixture, closed_draft const& draft)
{
    fixture.run_until(
        [&] {
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(resumption) > 0;
        });
    CHECK_FALSE(draft.is_complete());
    REQUIRE(fixture.request_count(resumption) == 1);
    auto const resumed = fixture.upstream_connection(resumption);
    resumed->send(stream_head("id-1") + event_chunk(4) + std::string{last_chunk});
    fixture.run_until([&] { return draft.is_complete(); });
    CHECK(draft.has_event(4));
}

} // namespace

// -- streams --------------------------------------------------------------------------------------

TEST_CASE("a stream is complete however late its upstream says that it lives", "[stream_ends]")
{
    auto const late = GENERATE(400ms, 1'000ms, 3'000ms);
    bool const has_backup = GENERATE(false, true);
    CAPTURE(late.count(), has_backup);
    forward_fixture fixture;
    if (!has_backup)
    {
        fill_engines(fixture);
    }
    closed_draft const draft{fixture};
    draft.stream->close();
    late_reports reports{*draft.source, late};
    fixture.run_until(
        [&]
        {
            reports.send(report());
            return draft.caller->ended || draft.is_complete();
        });
    CHECK(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 0);
    CHECK(fixture.request_count(resumption) == 0);
}

// The first questions are lost, or their connections; the path is there again after a while.
TEST_CASE("a stream is complete if only a later question is answered", "[stream_ends]")
{
    auto const lost_for = GENERATE(400ms, 1'500ms, 4'000ms);
    bool const is_reset = GENERATE(false, true);
    CAPTURE(lost_for.count(), is_reset);
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    auto const begin = steady::now();
    request_answers answers{*draft.source};
    fixture.run_until(
        [&]
        {
            if (steady::now() < begin + lost_for)
            {
                for (auto const& each : draft.source->take_unanswered(report_question))
                {
                    answers.skip(each);
                    is_reset ? each->reset() : void();
                }
            }
            answers.send(report_question, report());
            return draft.caller->ended || draft.is_complete();
        });
    CHECK(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 0);
}

// The process stands still with the question in its hands, and is killed.
TEST_CASE("a stream whose process is killed while it is asked goes on elsewhere", "[stream_ends]")
{
    auto const after = GENERATE(0ms, 150ms, 400ms, 1'500ms, 3'000ms);
    CAPTURE(after.count());
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.stream->close();
    run_for(fixture, after);
    REQUIRE_FALSE(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 0);
    draft.source->crash();
    check_goes_on(fixture, draft);
}

TEST_CASE("a stream whose process is killed while it is asked is broken off without a backup",
          "[stream_ends]")
{
    auto const after = GENERATE(150ms, 1'500ms);
    CAPTURE(after.count());
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    run_for(fixture, after);
    draft.source->crash();
    run_until_told(fixture, draft);
    CHECK_FALSE(draft.is_complete());
}

// Another process answers late at the same address, or one that is about to end.
TEST_CASE("a late answer of another or an ending process is no end", "[stream_ends]")
{
    std::string const answer =
        GENERATE(answer_text(421, "", ""), report(R"({"born":1784177999000})"),
                 report(R"({"state":"draining","leaves_ms":400})"));
    CAPTURE(answer);
    forward_fixture fixture;
    announce_incarnations(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    late_reports reports{*draft.source, 1s};
    fixture.run_until(
        [&]
        {
            reports.send(answer);
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(stop_order) > 0;
        });
    CHECK_FALSE(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 1);
}

// Nothing but its caller's patience ends the question to a machine that says nothing.
TEST_CASE("a stream whose machine is dark is broken off by its caller's patience", "[stream_ends]")
{
    constexpr std::size_t most_questions = 6;
    forward_fixture fixture;
    fixture.core.apply_configuration(std::string{short_objective}, "test");
    closed_draft const draft{fixture};
    draft.stream->close();
    auto const closed_at = steady::now();
    run_until_told(fixture, draft);
    CHECK_FALSE(draft.is_complete());
    CHECK(steady::now() - closed_at > short_patience - 100ms);
    CHECK(steady::now() - closed_at < short_patience + 1s);
    CHECK(fixture.request_count(stop_order) == 0);
    CHECK(fixture.request_count(report_question) <= most_questions);
    CHECK(fixture.core.calls_in_progress == 0);
}

// Nothing shows that the run is over, so it goes on nowhere, and nothing is ordered meanwhile.
TEST_CASE("a stream whose machine is dark is broken off with a backup, too", "[stream_ends]")
{
    forward_fixture fixture;
    closed_draft const draft{fixture};
    draft.stream->close();
    run_until_told(fixture, draft);
    CHECK_FALSE(draft.is_complete());
    CHECK(fixture.request_count(stop_order) == 0);
    CHECK(fixture.request_count(resumption) == 0);
}

// The platform lists a later start of the silent upstream, which states it.
TEST_CASE("a stream whose silent machine started again goes on from its backup", "[stream_ends]")
{
    forward_fixture fixture;
    announce_incarnations(fixture);
    closed_draft const draft{fixture};
    draft.stream->close();
    run_for(fixture, 1'500ms);
    CHECK(fixture.request_count(stop_order) == 0);
    list_later_start(fixture, *draft.source);
    request_answers answers{*draft.source};
    fixture.run_until(
        [&]
        {
            answers.send(report_question, report(R"({"born":1784177060000})"));
            answers.send(stop_order, answer_text(404, "", "{}"));
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(resumption) > 0;
        });
    check_goes_on(fixture, draft);
}

// Silence ended no stream while its run was there: the caller's patience counts from the close.
TEST_CASE("a late report completes a stream that was silent for long before its end",
          "[stream_ends]")
{
    forward_fixture fixture;
    fixture.core.apply_configuration(std::string{short_objective}, "test");
    fill_engines(fixture);
    closed_draft const draft{fixture};
    run_for(fixture, short_patience + 500ms);
    REQUIRE_FALSE(draft.caller->ended);
    draft.stream->close();
    late_reports reports{*draft.source, 1s};
    fixture.run_until(
        [&]
        {
            reports.send(report());
            return draft.caller->ended || draft.is_complete();
        });
    CHECK(draft.is_complete());
}

// The order to stop found no run, and the copy is there: half of the caller's time is for the
// question, the other half for the resumption.
TEST_CASE("a stream goes on from its copy if its upstream falls silent after it knew no run",
          "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    auto const order = order_stop(fixture, draft);
    draft.stream->close();
    run_for(fixture, 20ms);
    auto const answered_at = steady::now();
    order->send(answer_text(404, "", "{}"));
    check_goes_on(fixture, draft);
    CHECK(steady::now() - answered_at > 1'500ms);
}

// The caller's time ends before its patience.
TEST_CASE("a stream whose end is asked for is broken off as its caller's time is over",
          "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    auto const caller = fixture.call("/draft/1", "id-1",
                                     "Plumdale-Token-Usage: 3000,1800\r\n"
                                     "Plumdale-Request-Deadline-Ms: 1500\r\n");
    auto const called_at = steady::now();
    auto const stream = fixture.upstream_connection(id_field("id-1"));
    stream->send(closed_head("id-1") + event(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    stream->close();
    fixture.run_until([&] { return caller->ended || caller->received.ends_with(last_chunk); });
    CHECK_FALSE(caller->received.ends_with(last_chunk));
    CHECK(steady::now() - called_at > 1'400ms);
    CHECK(steady::now() - called_at < 1'900ms);
}

// -- plain answers --------------------------------------------------------------------------------

TEST_CASE("a plain answer is whole however late its upstream says that it lives",
          "[closed_answers]")
{
    std::string const path = GENERATE("/event/1", "/fetch/1");
    auto const late = path == "/event/1" ? 1'100ms : 450ms;
    CAPTURE(path);
    forward_fixture fixture;
    auto const caller = fixture.call(path, "id-1");
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send(closed_head("id-1") + "whole");
    upstream->close();
    late_reports reports{fixture.upstream_of(id_field("id-1")), late};
    fixture.run_until(
        [&]
        {
            reports.send(report());
            return has_answer(*caller);
        });
    CHECK(caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(caller->received.ends_with("\r\n\r\nwhole"));
    CHECK(fixture.request_count(id_field("id-1")) == 1);
}

TEST_CASE("a plain answer whose upstream says nothing more ends with its caller's time",
          "[closed_answers]")
{
    forward_fixture fixture;
    auto const called_at = steady::now();
    auto const caller = fixture.call("/event/1", "id-1");
    auto const upstream = fixture.upstream_connection(id_field("id-1"));
    upstream->send(closed_head("id-1") + "half");
    upstream->close();
    fixture.run_until([&] { return has_answer(*caller); });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(caller->received.find("half") == std::string::npos);
    CHECK(fixture.request_count(id_field("id-1")) == 1);
    CHECK(steady::now() - called_at > 1'400ms);
    CHECK(steady::now() - called_at < 1'900ms);
}

// The silent upstream has an equal part of the caller's time, as one that answers slowly; a late
// report to the dropped question changes nothing.
TEST_CASE("a call that may be sent again leaves an upstream that says nothing more in time",
          "[closed_answers]")
{
    forward_fixture fixture;
    auto const called_at = steady::now();
    auto const caller = fixture.call("/fetch/1", "id-1");
    scripted_upstream& first = fixture.upstream_of(id_field("id-1"));
    auto const upstream = first.connections_with(id_field("id-1")).front();
    upstream->send(closed_head("id-1") + "half");
    upstream->close();
    fixture.run_until(
        [&] { return has_answer(*caller) || fixture.request_count(id_field("id-1")) == 2; });
    CHECK(caller->received.empty());
    REQUIRE(fixture.request_count(id_field("id-1")) == 2);
    CHECK(steady::now() - called_at < 1s);
    request_answers answers{first};
    answers.send(report_question, report());
    run_for(fixture, 100ms);
    CHECK(caller->received.empty());
    for (auto const& each : fixture.upstreams)
    {
        bool const is_second = each.get() != &first;
        for (auto const& run : each->connections_with(is_second ? id_field("id-1") : "no such"))
        {
            run->send(answer_text(200, "id-1", "whole", "Plumdale-Response-Seal: seal\r\n"));
        }
    }
    fixture.run_until([&] { return has_answer(*caller); });
    CHECK(caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(caller->received.ends_with("\r\n\r\nwhole"));
}

// -- paths to an end that no other test walks -----------------------------------------------------

/// \brief What a departure has done as the stream is closed.
enum class copy_state
{
    first_ordered,
    first_done,
    refresh_ordered
};

// An order that doesn't stop is under way, or was carried out.
TEST_CASE("a stream that is closed during a copy of a departure has an end, or goes on",
          "[stream_ends]")
{
    constexpr std::string_view copy_order = "\"isLast\":false";
    bool const is_killed = GENERATE(false, true);
    auto const copies =
        GENERATE(copy_state::first_ordered, copy_state::first_done, copy_state::refresh_ordered);
    CAPTURE(is_killed, copies);
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    announce_departure(fixture, *draft.source);
    fixture.run_until([&] { return !draft.source->connections_with(report_question).empty(); });
    draft.source->connections_with(report_question)
        .front()
        ->send(report(R"({"state":"draining","leaves_ms":2000})"));
    auto const first = fixture.upstream_connection(copy_order);
    if (copies != copy_state::first_ordered)
    {
        first->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
        run_for(fixture, 20ms);
    }
    if (copies == copy_state::refresh_ordered)
    {
        fixture.run_until([&] { return draft.source->connections_with(copy_order).size() == 2; });
    }
    REQUIRE(fixture.request_count(stop_order) == 0);
    draft.stream->close();
    run_for(fixture, 20ms);
    if (!is_killed)
    {
        draft.run_until_complete(fixture);
        CHECK(fixture.request_count(stop_order) + fixture.request_count(resumption) == 0);
        return;
    }
    // Nothing holds its memory before the first copy is there.
    draft.source->crash();
    fixture.run_until(
        [&] {
            return draft.caller->ended || draft.is_complete() ||
                   fixture.request_count(resumption) > 0;
        });
    CHECK_FALSE(draft.is_complete());
    CHECK(fixture.request_count(resumption) == (copies == copy_state::first_ordered ? 0 : 1));
}

// The time of the last copy comes while the question is open. Guards against an order after which
// nothing proves the end any more.
TEST_CASE("nothing is ordered of a run whose end is asked for", "[stream_ends]")
{
    forward_fixture fixture;
    fill_engines(fixture);
    closed_draft const draft{fixture};
    announce_departure(fixture, *draft.source);
    fixture.run_until([&] { return !draft.source->connections_with(report_question).empty(); });
    auto const departure = draft.source->connections_with(report_question).front();
    departure->send(report(R"({"state":"draining","leaves_ms":1000})"));
    fixture.upstream_connection("\"isLast\":false")
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    run_for(fixture, 50ms);
    REQUIRE(fixture.request_count(stop_order) == 0);
    draft.stream->close();
    request_answers answers{*draft.source};
    auto const closed_at = steady::now();
    fixture.run_until(
        [&]
        {
            if (steady::now() > closed_at + 2'500ms)
            {
                answers.send(report_question, report());
            }
            return draft.caller->ended || draft.is_complete();
        });
    CHECK(draft.is_complete());
    CHECK(fixture.request_count("\"isLast\":") == 1);
}

// Nothing but the last chunk tells a caller that its stream is whole.
TEST_CASE("a stream that its VM gives up ends without the last chunk", "[stream_ends]")
{
    bool const is_in_chunks = GENERATE(false, true);
    CAPTURE(is_in_chunks);
    forward_fixture fixture;
    fill_engines(fixture);
    auto const caller = fixture.call("/draft/1", "id-1",
                                     "Plumdale-Token-Usage: 3000,1800\r\n"
                                     "Plumdale-Request-Deadline-Ms: 700\r\n");
    auto const stream = fixture.upstream_connection(id_field("id-1"));
    stream->send(is_in_chunks ? stream_head("id-1") + event_chunk(1)
                              : closed_head("id-1") + event(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    SECTION("as its caller's time is over")
    {
        fixture.run_until([&] { return caller->ended; });
    }
    SECTION("as its process ends")
    {
        fixture.cut_channels();
        fixture.run_until([&] { return caller->ended; });
    }
    CHECK(caller->received.find(last_chunk) == std::string::npos);
}
