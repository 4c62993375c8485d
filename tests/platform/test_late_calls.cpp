#include "forward_fixture.hpp"
#include "peer_vm.hpp"
#include "running_draft.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view not_run = "Plumdale-Not-Executed: 1\r\n";
/// \brief Longer than a call without an answer takes to look at its chances again.
constexpr auto several_steps = 300ms;

void run_for(forward_fixture& fixture, state::duration time)
{
    auto const end = transport::boot_now() + time;
    fixture.run_until([end] { return transport::boot_now() >= end; });
}

std::string id_field(std::string_view id)
{
    return "Plumdale-Request-Id: " + std::string{id};
}

bool is_refused_as_draining(scripted_caller const& caller)
{
    return caller.received.starts_with("HTTP/1.1 503 ") &&
           caller.received.find("\"draining\"") != std::string::npos &&
           caller.received.find("Retry-After: ") != std::string::npos;
}

/// \brief Gives the plain routes twenty seconds, as routes for long work have.
void allow_long_calls(forward_fixture& fixture)
{
    std::string longer = fixture.core.configuration_text;
    std::string_view const short_time = "\"timeoutMs\":1500,";
    for (std::size_t at = longer.find(short_time); at != std::string::npos;
         at = longer.find(short_time, at))
    {
        longer.replace(at, short_time.size(), "\"timeoutMs\":20000,");
    }
    longer.replace(longer.find("\"version\":3"), 11, "\"version\":4");
    REQUIRE(fixture.core.apply_configuration(longer, "test"));
}

/// \brief Has a VM be stopped since `ago`, with `left` of its grace.
template <typename Vm>
void stop(Vm& vm, state::duration left, state::duration ago = 0ms)
{
    vm.core.closing_since = transport::boot_now() - ago;
    vm.settings.grace = ago + left;
}

/// \brief Lists all upstreams, or none.
void list_upstreams(forward_fixture& fixture, bool are_there, std::uint64_t revision)
{
    std::vector<state::service_member> members;
    for (std::size_t i = 0; are_there && i < fixture.upstreams.size(); ++i)
    {
        bool const is_plain = i < forward_fixture::plain_upstreams;
        members.push_back(
            fixture.upstreams[i]->make_member(is_plain ? "plain" : "engine", revision));
    }
    fixture.core.apply_list(members, {}, revision, "test");
}

/// \brief A call that was read before the stop and waits, as there is no upstream.
std::shared_ptr<scripted_caller> waiting_call(forward_fixture& fixture, std::string_view path,
                                              std::string_view fields = {})
{
    list_upstreams(fixture, false, 2);
    auto const caller = fixture.call(path, "id-101", fields);
    fixture.run_until([&] { return fixture.core.calls_in_progress == 1; });
    return caller;
}

} // namespace

// -- calls that wait ------------------------------------------------------------------------------

// Guards against calls that waited in line and are sent as the process is about to end.
TEST_CASE("a call that waited is not sent so late in a stop that its answer is cut", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    std::string const path = GENERATE("/event/1", "/fetch/1", "/draft/1");
    auto const caller =
        waiting_call(fixture, path, path == "/draft/1" ? draft_fields : std::string_view{});
    stop(fixture, 400ms);
    list_upstreams(fixture, true, 3);
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-101")) == 0);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against a call that may run once and waits in line while others could serve it.
TEST_CASE("a call that may run once is told at once that it won't be sent", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller = waiting_call(fixture, "/event/1");
    stop(fixture, 8s);
    run_for(fixture, several_steps);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against refusals of calls that are served in time.
TEST_CASE("a call that waited is sent while its answer comes before the end", "[late_calls]")
{
    forward_fixture fixture;
    std::string const path = GENERATE("/event/1", "/fetch/1");
    auto const caller = waiting_call(fixture, path);
    stop(fixture, 3s);
    list_upstreams(fixture, true, 3);
    fixture.upstream_connection(id_field("id-101"))
        ->send(answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return caller->received.ends_with("whole"); });
}

// -- drafts ---------------------------------------------------------------------------------------

// Guards against drafts that are begun at a VM that ends long before they do.
TEST_CASE("a draft that can't end before the stop is refused at once", "[late_calls][stream]")
{
    forward_fixture fixture;
    auto const [ago, limit] = GENERATE(std::pair{0ms, 3'600}, std::pair{2'000ms, 1'800});
    stop(fixture, 8s - ago, ago);
    auto const caller = fixture.call(
        "/draft/1", "id-101", "Plumdale-Token-Usage: 3000," + std::to_string(limit) + "\r\n");
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-101")) == 0);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against a caller that is held in line for a draft that can't be begun any more.
TEST_CASE("a waiting draft that can't end before the stop is refused at its begin",
          "[late_calls][stream]")
{
    forward_fixture fixture;
    auto const caller = waiting_call(fixture, "/draft/1", "Plumdale-Token-Usage: 3000,3600\r\n");
    stop(fixture, 8s);
    run_for(fixture, several_steps);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against an estimate of an idle engine's pace where each runs a full batch.
TEST_CASE("what a draft takes before the stop is seen in its engines' load", "[late_calls][stream]")
{
    forward_fixture fixture;
    bool const are_busy = GENERATE(false, true);
    std::size_t const first_engine = forward_fixture::plain_upstreams;
    for (std::size_t i = first_engine; are_busy && i < fixture.upstreams.size(); ++i)
    {
        state::member_key const key = state::key_of(fixture.upstreams[i]->make_member("engine", 1));
        fixture.core.ledger.add(key, {key, 24, 0, 0, 0});
    }
    stop(fixture, 8s);
    auto const caller = fixture.call("/draft/1", "id-101", "Plumdale-Token-Usage: 3000,1600\r\n");
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-101")) == (are_busy ? 0 : 1));
    CHECK(is_refused_as_draining(*caller) == are_busy);
}

// Guards against refusals of drafts that end in time.
TEST_CASE("a draft that ends before the stop is served", "[late_calls][stream]")
{
    forward_fixture fixture;
    stop(fixture, 5'100ms, 2'900ms);
    auto const caller = fixture.call("/draft/1", "id-101", "Plumdale-Token-Usage: 3000,800\r\n");
    fixture.upstream_connection(id_field("id-101"))
        ->send(stream_head("id-101") + event_chunk(1) + "0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    CHECK(caller->received.find("data: e1") != std::string::npos);
}

// -- second sends ---------------------------------------------------------------------------------

// Guards against a second upstream that is at work on a call that may run once at the end.
TEST_CASE("a refused call is not sent to another upstream late in a stop", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller = fixture.call("/event/1", "id-101");
    auto const first = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, GENERATE(8'000ms, 4'500ms, 500ms));
    first->send(answer_text(503, "id-101", "full", not_run));
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-101")) == 1);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against a repeat whose answer can't be delivered, and against a promise after a send.
TEST_CASE("a failed call is not repeated late in a stop, and promises nothing", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller = fixture.call("/fetch/1", "id-101");
    auto const first = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 400ms);
    first->reset();
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-101")) == 1);
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
}

// Guards against refusals of repeats that are served in time.
TEST_CASE("a failed call is repeated while its answer usually comes in time", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller = fixture.call("/fetch/1", "id-101");
    auto const first = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 3s);
    first->reset();
    fixture.run_until([&] { return fixture.request_count(id_field("id-101")) == 2; });
    for (auto const& upstream : fixture.upstreams)
    {
        for (auto const& each : upstream->connections_with(id_field("id-101")))
        {
            each->send(answer_text(200, "id-101", "whole", signature_field));
        }
    }
    fixture.run_until([&] { return caller->received.ends_with("whole"); });
}

// Guards against an answer that is given up for a repeat which may not be sent any more.
TEST_CASE("a silent upstream is waited for where a stop allows no repeat", "[late_calls][silence]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller =
        fixture.call("/fetch/1", "id-101", "Plumdale-Request-Deadline-Ms: 1600\r\n");
    auto const run = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 1'100ms);
    run_for(fixture, 950ms);
    CHECK(caller->received.empty());
    CHECK_FALSE(run->ended);
    run->send(answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
    CHECK(caller->received.ends_with("whole"));
}

// Guards against an upstream's own answer that is thrown away for such a repeat.
TEST_CASE("an upstream's failure is passed on where a stop allows no repeat", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    auto const caller = fixture.call("/fetch/1", "id-101");
    auto const run = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 400ms);
    run->send(answer_text(500, "id-101", "failure", signature_field));
    fixture.run_until([&] { return !caller->received.empty(); });
    CHECK(caller->received.starts_with("HTTP/1.1 500 "));
    CHECK(caller->received.ends_with("failure"));
}

// -- peers ----------------------------------------------------------------------------------------

// Guards against a peer that is at work for a VM that has ended.
TEST_CASE("a call is not handed to a peer late in a stop", "[late_calls][reach]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::silent};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller = fixture.call("/event/1", "id-101");
    fixture.run_until([&] { return fixture.core.calls_in_progress == 1; });
    stop(fixture, 2s);
    fixture.run_until(
        [&] { return !caller->received.empty() || fixture.request_count(id_field("id-101")) > 0; });
    CHECK(fixture.request_count(id_field("id-101")) == 0);
    CHECK(is_refused_as_draining(*caller));
}

// Guards against a caller that is told of a stop of a VM that it never called.
TEST_CASE("a peer's call that waits at a VM being stopped goes to another peer",
          "[late_calls][reach]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    peer_vm first{fixture, 1};
    first.join();
    dead_address const nowhere{lost_path::silent};
    cut_paths(fixture, fixture.core, nowhere);
    first.core.apply_list({}, {}, 2'000, "test");
    auto const caller = fixture.call("/event/1", "id-101");
    fixture.run_until([&] { return first.core.calls_in_progress == 1; });
    peer_vm second{fixture, 2};
    second.join();
    stop(first, 8s);
    fixture.upstream_connection(id_field("id-101"))
        ->send(answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return caller->received.ends_with("whole"); });
}

// -- slow uploads ---------------------------------------------------------------------------------

// Guards against a call that begins to arrive early in a stop and is sent as the process ends.
TEST_CASE("a call that is uploaded during a stop counts from its last byte", "[late_calls]")
{
    forward_fixture fixture;
    fixture.limits.header_timeout = 10s;
    auto const caller = fixture.call("/event/1", "id-101", "Content-Type: text/plain\r\n");
    fixture.upstream_connection(id_field("id-101"))
        ->send(answer_text(200, "id-101", "whole", signature_field));
    fixture.run_until([&] { return caller->received.ends_with("whole"); });
    std::string const text = call_text("/event/2", "id-202", {}, "body");
    caller->send(text.substr(0, text.size() - 1));
    run_for(fixture, several_steps);
    stop(fixture, 1'500ms, 6'500ms);
    caller->received.clear();
    caller->send(text.substr(text.size() - 1));
    run_for(fixture, several_steps);
    CHECK(fixture.request_count(id_field("id-202")) == 0);
    CHECK(is_refused_as_draining(*caller));
}

// -- the end of the grace -------------------------------------------------------------------------

// Guards against calls that are cut without a word, so that nothing tells whether they ran.
TEST_CASE("a call without an answer at the end of the grace is told what is known", "[late_calls]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    std::string const path = GENERATE("/event/1", "/fetch/1", "/draft/1");
    auto const caller = fixture.call(path, "id-101");
    auto const run = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 8s);
    fixture.end_grace();
    fixture.run_until([&] { return caller->ended && run->ended; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(fixture.core.calls_in_progress == 0);
}

// Guards against callers who wait in line as the process ends, and are cut though nothing was sent.
TEST_CASE("a call that waits at the end of the grace is refused as not run", "[late_calls]")
{
    forward_fixture fixture;
    auto const caller = waiting_call(fixture, "/event/1");
    stop(fixture, 8s);
    fixture.end_grace();
    fixture.run_until([&] { return caller->ended; });
    CHECK(is_refused_as_draining(*caller));
}

// Guards against an end of the grace that spoils an answer which its caller has a part of.
TEST_CASE("a begun stream is not ended before the process", "[late_calls][stream]")
{
    forward_fixture fixture;
    running_draft draft{fixture};
    stop(fixture, 8s);
    fixture.end_grace();
    draft.stream->send(event_chunk(4));
    fixture.run_until([&] { return draft.has_event(4); });
    CHECK(draft.caller->received.find("HTTP/1.1 5") == std::string::npos);
}

// Guards against a call at a peer that is cut without a word as the VM that handed it over ends.
TEST_CASE("a call at a peer is told that it may have run as the process ends",
          "[late_calls][reach]")
{
    forward_fixture fixture;
    allow_long_calls(fixture);
    peer_vm peer{fixture, 1};
    peer.join();
    dead_address const nowhere{lost_path::refused};
    cut_paths(fixture, fixture.core, nowhere);
    auto const caller = fixture.call("/event/1", "id-101");
    auto const run = fixture.upstream_connection(id_field("id-101"));
    stop(fixture, 8s);
    fixture.end_grace();
    fixture.run_until([&] { return caller->ended && run->ended; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
}
