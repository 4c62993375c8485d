#include "forward_fixture.hpp"
#include "short_objective.hpp"
#include "slow_caller.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::size_t large_answer = 6'000'000;
/// \brief The large answer lasts three seconds, many times the channel's limits of these tests.
constexpr std::size_t reading_rate = 2'000'000;
/// \brief An answer that is read for most of the idle limit, and a rest that is shorter than it.
constexpr std::size_t short_read_answer = 1'500'000;
constexpr auto slow_idle_limit = 2s;
constexpr auto kept_for = 1'200ms;
constexpr auto channel_limit = 200ms;

/// \brief A slow caller whose upstream has answered with a large body.
struct answered_slow_caller
{
    explicit answered_slow_caller(forward_fixture& fixture, std::string_view fields = {},
                                  std::size_t size = large_answer)
        : caller{fixture, reading_rate}, body_bytes{size}
    {
        caller.send(call_text("/event/1", "id-101", fields));
        fixture.upstream_connection("id-101")->send_large(
            answer_text(200, "id-101", std::string(body_bytes, 'x'), signature_field));
    }

    /// \brief Returns whether the whole body arrives.
    bool reads_whole_answer()
    {
        caller.read_until_size(body_bytes);
        std::size_t const head = caller.received.find("\r\n\r\n") + 4;
        caller.read_until_size(head + body_bytes);
        return caller.received.size() == head + body_bytes;
    }

    slow_caller caller;
    std::size_t body_bytes;
};

void run_for(forward_fixture& fixture, state::duration time)
{
    auto const end = transport::boot_now() + time;
    fixture.run_until([end] { return transport::boot_now() >= end; });
}

constexpr auto long_silence = 2'600ms;
constexpr auto unread_for = 11s;

} // namespace

// Guards against an idle limit that runs while a slow caller still reads its answer.
TEST_CASE("an idle limit cuts no answer that its caller still reads", "[owed_answers]")
{
    forward_fixture fixture;
    fixture.limits.idle_timeout = channel_limit;
    answered_slow_caller slow{fixture};
    CHECK(slow.reads_whole_answer());
}

// Guards against a channel that closes a second after its last answer was queued.
TEST_CASE("a channel that closes after its answer sends all of it", "[owed_answers]")
{
    forward_fixture fixture;
    bool const is_stopping = GENERATE(false, true);
    fixture.core.closing_since = is_stopping ? transport::boot_now() : state::never;
    answered_slow_caller slow{fixture, is_stopping ? "" : "Connection: close\r\n"};
    CHECK(slow.reads_whole_answer());
}

// Guards against a limit of the next request that cuts the answer before it.
TEST_CASE("a request that stays unfinished cuts no answer before it", "[owed_answers]")
{
    forward_fixture fixture;
    fixture.limits.header_timeout = channel_limit;
    answered_slow_caller slow{fixture};
    slow.caller.send("POST /event/2 HTTP/1.1\r\n");
    CHECK(slow.reads_whole_answer());
}

// Guards against an idle limit that is nearly over once a slow caller has its answer.
TEST_CASE("the idle limit runs from the end of an answer that is read slowly", "[owed_answers]")
{
    forward_fixture fixture;
    fixture.limits.idle_timeout = slow_idle_limit;
    answered_slow_caller slow{fixture, {}, short_read_answer};
    REQUIRE(slow.reads_whole_answer());
    slow.caller.rest(kept_for);
    slow.caller.send(call_text("/event/2", "id-202"));
    fixture.upstream_connection("id-202")->send(
        answer_text(200, "id-202", "second", signature_field));
    std::size_t const first = slow.caller.received.size();
    slow.caller.read_until_size(first + 1);
    CHECK(slow.caller.received.find("HTTP/1.1 200", first) == first);
}

// Guards against channels of which nobody reads that stay open for good.
TEST_CASE("a channel is closed at its idle limit once its answer is read", "[owed_answers]")
{
    forward_fixture fixture;
    fixture.limits.idle_timeout = channel_limit;
    auto const caller = fixture.call("/event/1", "id-101");
    fixture.upstream_connection("id-101")->send(
        answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
    auto const answered_at = transport::boot_now();
    fixture.run_until([&] { return caller->ended; });
    CHECK(transport::boot_now() - answered_at < 2s);
}

// Guards against a whole answer that is cut as its caller ends its sending side.
TEST_CASE("a caller that sends nothing more gets all of a whole answer", "[owed_answers]")
{
    forward_fixture fixture;
    bool const is_kept = GENERATE(false, true);
    answered_slow_caller slow{fixture, is_kept ? "" : "Connection: close\r\n"};
    slow.caller.read_until_size(1);
    slow.caller.rest(100ms);
    slow.caller.end_sending();
    CHECK(slow.reads_whole_answer());
    slow.caller.read_until_size(slow.caller.received.size() + 1);
    CHECK(slow.caller.ended);
}

// Guards against upstreams at work for callers who have closed their connection, which looks the
// same.
TEST_CASE("a caller that ends its sending side during a call counts as gone", "[owed_answers]")
{
    forward_fixture fixture;
    std::string const kind = GENERATE("event", "fetch", "draft");
    auto const caller = fixture.call("/" + kind + "/1", "id-101");
    auto const run = fixture.upstream_connection("Plumdale-Request-Id: id-101");
    caller->close();
    auto const closed_at = transport::boot_now();
    fixture.run_until([&] { return run->ended; });
    CHECK(transport::boot_now() - closed_at < 500ms);
    CHECK(fixture.core.calls_in_progress == 0);
}

// Guards against a caller that is given up though it acknowledges what it doesn't read.
TEST_CASE("a caller that reads nothing for over ten seconds gets its answer", "[owed_answers]")
{
    forward_fixture fixture;
    answered_slow_caller slow{fixture};
    slow.caller.read_until_size(1);
    slow.caller.rest(unread_for);
    CHECK(slow.reads_whole_answer());
}

// Guards against streams that are ended as their sound upstream is silent for long.
TEST_CASE("a long silence of its upstream ends no stream", "[owed_answers][silence]")
{
    forward_fixture fixture;
    fixture.core.apply_configuration(std::string{short_objective}, "test");
    auto const caller = fixture.call("/draft/1", "id-101",
                                     "Plumdale-Token-Usage: 3000,1800\r\n"
                                     "Plumdale-Request-Deadline-Ms: 39000\r\n");
    auto const run = fixture.upstream_connection("Plumdale-Request-Id: id-101");
    bool const has_begun = GENERATE(false, true);
    run->send(has_begun ? stream_head("id-101") + event_chunk(1) : std::string{});
    run_for(fixture, long_silence);
    run->send(has_begun ? event_chunk(2) + "0\r\n\r\n"
                        : stream_head("id-101") + event_chunk(1) + event_chunk(2) + "0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n") || caller->ended; });
    CHECK(caller->received.find("data: e2") != std::string::npos);
}
