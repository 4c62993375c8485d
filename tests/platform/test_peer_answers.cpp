#include "peer_vm.hpp"
#include "running_draft.hpp"
#include "slow_caller.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::size_t large_events = 60;
constexpr std::size_t large_event_bytes = 100'000;
constexpr std::size_t reading_rate = 4'000'000;
/// \brief Longer than a lost path is waited for.
constexpr auto unread_for = 4'500ms;
constexpr auto grace = 8s;

/// \brief A VM without a path to upstreams, whose calls a peer takes.
struct cut_off_vm
{
    cut_off_vm()
    {
        peer.join();
        cut_paths(fixture, fixture.core, nowhere);
    }

    void stop_peer()
    {
        peer.settings.grace = grace;
        peer.core.closing_since = transport::boot_now();
    }

    forward_fixture fixture;
    peer_vm peer{fixture, 1};
    dead_address nowhere{lost_path::refused};
};

std::string large_stream()
{
    std::string text = stream_head("id-101");
    for (std::size_t id = 1; id <= large_events; ++id)
    {
        std::string const event =
            "id: " + std::to_string(id) + "\ndata: " + std::string(large_event_bytes, 'x') + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        text += size.data() + event + "\r\n";
    }
    return text.append(last_chunk);
}

} // namespace

// Guards against a stream that is given up on its way through a peer as its caller reads nothing
// for a while.
TEST_CASE("a stream through a peer waits for a caller that reads slowly", "[peer_answers]")
{
    cut_off_vm vm;
    slow_caller caller{vm.fixture, reading_rate};
    caller.send(call_text("/draft/1", "id-101", draft_fields));
    vm.fixture.upstream_connection("Plumdale-Request-Id: id-101")->send_large(large_stream());
    caller.read_until_size(1);
    caller.rest(unread_for);
    while (!caller.ended && !caller.received.ends_with(last_chunk))
    {
        caller.read_until_size(caller.received.size() + 1);
    }
    CHECK(caller.received.ends_with(last_chunk));
    CHECK(caller.received.size() > large_events * large_event_bytes);
}

// Guards against a stream that looks whole, or runs twice, as its peer ends.
TEST_CASE("a stream whose peer is lost breaks off and runs nowhere else", "[peer_answers]")
{
    cut_off_vm vm;
    running_draft const draft{vm.fixture};
    peer_vm second{vm.fixture, 2};
    second.join();
    vm.peer.drop_connections();
    vm.fixture.run_until([&] { return draft.caller->ended && draft.stream->ended; });
    CHECK_FALSE(draft.caller->received.ends_with(last_chunk));
    CHECK(second.core.metrics.value(transport::forward_count::peer_calls) == 0);
}

// Guards against a stream of another VM's caller that is cut as its peer begins to stop.
TEST_CASE("a stream through a peer goes on while the peer stops", "[peer_answers]")
{
    cut_off_vm vm;
    running_draft const draft{vm.fixture};
    vm.stop_peer();
    auto const stopped_at = transport::boot_now();
    std::uint64_t id = 3;
    while (transport::boot_now() - stopped_at < unread_for)
    {
        draft.stream->send(event_chunk(++id));
        vm.fixture.run_until([&] { return draft.has_event(static_cast<int>(id)); });
        auto const next = transport::boot_now() + 500ms;
        vm.fixture.run_until([next] { return transport::boot_now() >= next; });
    }
    // What has begun runs on to the process's end.
    vm.peer.end_grace();
    draft.stream->send(event_chunk(++id) + std::string{last_chunk});
    vm.fixture.run_until(
        [&] { return draft.caller->received.ends_with(last_chunk) || draft.caller->ended; });
    CHECK(draft.has_event(static_cast<int>(id)));
    CHECK(draft.caller->received.ends_with(last_chunk));
}

// Guards against calls that meet a peer's end though another peer would take them.
TEST_CASE("a peer that stops takes no further calls, and the next one does", "[peer_answers]")
{
    cut_off_vm vm;
    vm.stop_peer();
    peer_vm second{vm.fixture, 2};
    second.join();
    for (std::string const id : {"id-1", "id-2", "id-3", "id-4"})
    {
        auto const caller = vm.fixture.call("/event/1", id);
        vm.fixture.upstream_connection("Plumdale-Request-Id: " + id)
            ->send(answer_text(200, id, "whole", signature_field));
        vm.fixture.run_until([&] { return caller->received.ends_with("whole"); });
    }
    CHECK(vm.peer.core.metrics.value(transport::forward_count::peer_calls) == 0);
}

// Guards against a channel that closes without a word as the peer that has the call ends.
TEST_CASE("a call without an answer as its peer ends is told what is known", "[peer_answers]")
{
    cut_off_vm vm;
    std::string const kind = GENERATE("event", "draft");
    auto const caller = vm.fixture.call("/" + kind + "/1", "id-101", draft_fields);
    vm.fixture.upstream_connection("Plumdale-Request-Id: id-101");
    vm.stop_peer();
    vm.peer.end_grace();
    vm.fixture.run_until([&] { return !caller->received.empty() || caller->ended; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
}
