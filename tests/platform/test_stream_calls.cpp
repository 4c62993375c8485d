#include "forward_scene.hpp"
#include "transport/boot_clock.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::size_t count(std::string const& text, std::string_view what)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
    {
        ++found;
    }
    return found;
}

bool has_event(script_caller const& caller, int id)
{
    return caller.received.find("data: e" + std::to_string(id) + "\n") != std::string::npos;
}

void announce_departure(forward_scene& scene, script_upstream const& upstream)
{
    state::service_member leaving = upstream.listing("engine", 2);
    leaving.leaving = true;
    std::vector<state::service_member> const news{leaving};
    scene.core.take_members(news, "test");
}

/// \brief A draft that runs at an upstream and has made three events.
struct running_draft
{
    explicit running_draft(forward_scene& scene)
        : caller{scene.call("/draft/1", "id-1", draft_fields)}, source{&scene.upstream_of(
                                                                    "Plumdale-Request-Id: id-1")},
          sent{source->connections_with("Plumdale-Request-Id: id-1").front()}
    {
        sent->send(stream_head("id-1"));
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            sent->send(event_chunk(id));
        }
        scene.run_until([this] { return has_event(*caller, 3); });
    }

    std::shared_ptr<script_caller> caller;
    script_upstream* source;
    std::shared_ptr<script_connection> sent;
};

// Returns the upstream that keeps the draft's backup; null when it has none.
script_upstream* keeper_of(forward_scene& scene, running_draft const& draft)
{
    for (std::size_t i = 2; i < 5; ++i)
    {
        std::string const address =
            protocol::to_text(scene.upstreams[i]->listing("engine", 1).address);
        if (draft.sent->received.find("Plumdale-Kv-Backup: " + address) != std::string::npos)
        {
            return scene.upstreams[i].get();
        }
    }
    return nullptr;
}

// Fills the upstreams so far that drafts get no backup, as on a crowded day.
void crowd(forward_scene& scene)
{
    for (int i = 2; i < 5; ++i)
    {
        state::member_key const key =
            state::key_of(scene.upstreams[static_cast<std::size_t>(i)]->listing("engine", 1));
        scene.core.ledger.add(key, {key, 5, 22'000, 23'000, 0});
    }
}

} // namespace

TEST_CASE("events are passed on as they come and the end is the upstream's", "[stream]")
{
    forward_scene scene;
    running_draft draft{scene};
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
    draft.sent->send(event_chunk(4) + std::string{last_chunk});
    scene.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(count(draft.caller->received, "data: e") == 4);
    CHECK(scene.core.ledger.own_generations().empty());
}

// The upstream crashes in the middle of an event and there is no copy of its memory. The caller
// must see that the answer broke off, and must not see half an event.
TEST_CASE("a stream that breaks without a copy does not look whole", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    running_draft draft{scene};
    draft.sent->send("20\r\nid: 4\ndata: e4 and more");
    draft.sent->close();
    scene.run_until([&] { return draft.caller->ended; });
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
    CHECK(draft.caller->received.find("e4") == std::string::npos);
}

// The answer has no length and its connection ends: a crash looks the same, so the caller must not
// be told that the stream is whole.
TEST_CASE("a stream of unknown length never ends as whole", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    auto const sent = scene.sent("Plumdale-Request-Id: id-1");
    sent->send("HTTP/1.1 200 OK\r\nPlumdale-Request-Id: id-1\r\nPlumdale-Response-Seal: s\r\n"
               "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n");
    sent->close();
    scene.run_until([&] { return caller->ended; });
    CHECK(has_event(*caller, 1));
    CHECK(caller->received.find(last_chunk) == std::string::npos);
}

TEST_CASE("a stream that breaks before its first event is not run again", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    scene.sent("Plumdale-Request-Id: id-1")->reset();
    scene.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(scene.sends("Plumdale-Request-Id: id-1") == 1);
}

// Memory is free: the draft has a backup on another upstream. Its own is reclaimed without a word;
// the caller's stream goes on from the backup, each event once and in order.
TEST_CASE("a draft goes on from its backup when its upstream is gone", "[stream]")
{
    forward_scene scene;
    running_draft draft{scene};
    REQUIRE(draft.sent->received.find("Plumdale-Kv-Backup: 127.0.0.1:") != std::string::npos);
    draft.sent->reset();
    auto const resumed = scene.sent("Kv-From: 127.0.0.1:");
    CHECK(resumed->received.find("/id-1\r\n") != std::string::npos);
    CHECK(resumed->received.find("Last-Event-Id: 3\r\n") != std::string::npos);
    resumed->send(stream_head("id-1") + event_chunk(3) + event_chunk(4) + std::string{last_chunk});
    scene.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(count(draft.caller->received, "data: e3\n") == 1);
    CHECK(count(draft.caller->received, "data: e4\n") == 1);
    CHECK(count(draft.caller->received, "HTTP/1.1") == 1);
}

// A crowded day: no backup. The upstream gets notice; its memory is copied while the draft runs,
// then the draft is stopped by a last copy and goes on at the destination.
TEST_CASE("a draft is moved off an upstream that leaves", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    running_draft draft{scene};
    REQUIRE(draft.sent->received.find("Plumdale-Kv-Backup") == std::string::npos);
    announce_departure(scene, *draft.source);

    auto const first = scene.sent("\"isLast\":false");
    CHECK(first->received.find("\"id\":\"id-1\"") != std::string::npos);
    first->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    auto const last = scene.sent("\"isLast\":true");
    draft.sent->send(event_chunk(4));
    draft.sent->close();
    last->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":4})"));

    auto const resumed = scene.sent("/h-1\r\n");
    CHECK(resumed->received.find("Last-Event-Id: 4\r\n") != std::string::npos);
    resumed->send(stream_head("id-1") + event_chunk(5) + std::string{last_chunk});
    scene.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(count(draft.caller->received, "data: e") == 5);
    CHECK(draft.caller->received.find("data: e4\n") < draft.caller->received.find("data: e5\n"));
}

// A draft waits for its prompt to be read when its upstream gets notice. There is nothing to copy
// yet; orders every 50 ms told all peers of a copy at one destination after the other, which then
// looked full. The copy is ordered with the first event.
TEST_CASE("no copy is ordered of a draft without an event", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    script_upstream& source = scene.upstream_of("Plumdale-Request-Id: id-1");
    auto const sent = source.connections_with("Plumdale-Request-Id: id-1").front();
    announce_departure(scene, source);
    CHECK(scene.core.metrics.value(transport::forward_count::copies_first) == 0);
    sent->send(stream_head("id-1") + event_chunk(1));
    scene.run_until([&] { return has_event(*caller, 1); });
    CHECK(scene.core.metrics.value(transport::forward_count::copies_first) == 1);
}

// Questions end within a notice. Their copies would only hold up those of drafts on the link.
TEST_CASE("an answer that ends before its upstream is gone is not copied", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    auto const caller = scene.call("/draft/1", "id-1",
                                   "Plumdale-Token-Usage: 2200,40\r\nPlumdale-Length-Hint: 12\r\n"
                                   "Plumdale-Request-Deadline-Ms: 6000\r\n");
    script_upstream& source = scene.upstream_of("Plumdale-Request-Id: id-1");
    auto const sent = source.connections_with("Plumdale-Request-Id: id-1").front();
    sent->send(stream_head("id-1") + event_chunk(1));
    scene.run_until([&] { return has_event(*caller, 1); });
    announce_departure(scene, source);
    sent->send(event_chunk(2) + std::string{last_chunk});
    scene.run_until([&] { return caller->received.ends_with(last_chunk); });
    CHECK(scene.sends("isLast") == 0);
}

TEST_CASE("a caller that leaves ends the generation and frees its copy", "[stream]")
{
    forward_scene scene;
    crowd(scene);
    running_draft draft{scene};
    announce_departure(scene, *draft.source);
    scene.sent("\"isLast\":false")
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    scene.run_until(
        [&] { return scene.core.metrics.value(transport::forward_count::copies_first) == 1; });
    draft.caller->reset();
    scene.run_until([&] { return draft.sent->ended; });
    CHECK(scene.core.calls_in_progress == 0);
}

// Load pattern: all upstreams are crowded and more calls come than memory is freed. A draft that
// waits in an upstream's queue is late and in doubt; here it is refused at once as not run, and
// told when to come back: within a third of its time, and not with all others at the same moment.
TEST_CASE("a draft that finds no room is refused as not run", "[stream][load]")
{
    forward_scene scene;
    for (int i = 2; i < 5; ++i)
    {
        state::member_key const key =
            state::key_of(scene.upstreams[static_cast<std::size_t>(i)]->listing("engine", 1));
        scene.core.ledger.add(key, {key, 9, 34'000, 36'000, 0});
    }
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    scene.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 503 "));
    CHECK(scene.sends("id-1") == 0);
    std::size_t const at = caller->received.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    double const come_back = std::stod(caller->received.substr(at + 13));
    CHECK(come_back > 4.0);
    CHECK(come_back < 13.0);
}

TEST_CASE("an entry VM that shuts down refuses streams it could not end", "[stream]")
{
    forward_scene scene;
    scene.core.closing_since = transport::boot_now() - 4s;
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    scene.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 503 "));
    CHECK(caller->received.find("Connection: close") != std::string::npos);
    CHECK(scene.sends("id-1") == 0);
}

// The upstream that keeps the backup is reclaimed long before the draft's own. The caller's draft
// goes on meanwhile, event by event. When its own upstream leaves, a backup that is gone must not
// be counted on: nothing would be copied, and the draft would be cut.
TEST_CASE("a draft whose backup left is copied when its own upstream leaves", "[stream]")
{
    forward_scene scene;
    running_draft draft{scene};
    script_upstream* const keeper = keeper_of(scene, draft);
    REQUIRE(keeper != nullptr);
    announce_departure(scene, *keeper);
    draft.sent->send(event_chunk(4));
    scene.run_until([&] { return has_event(*draft.caller, 4); });
    announce_departure(scene, *draft.source);
    scene.run_until([&] { return !draft.source->connections_with("GET /v1/report").empty(); });
    CHECK(scene.sends("\"isLast\":false") == 1);
}

// -- upstreams that start again -------------------------------------------------------------------

namespace
{

constexpr std::uint64_t first_start = 1'784'177'000'000;

// All engines tell their start, as the platform's list has it before the draft begins.
void tell_starts(forward_scene& scene)
{
    std::vector<state::service_member> members;
    for (std::size_t i = 0; i < 5; ++i)
    {
        members.push_back(scene.upstreams[i]->listing(i < 2 ? "plain" : "engine", 2));
        members.back().started = state::incarnation{first_start + i};
    }
    scene.core.take_members(members, "test");
}

void start_again(forward_scene& scene, script_upstream const& upstream)
{
    state::service_member again = upstream.listing("engine", 9);
    again.started = state::incarnation{first_start + 60'000};
    scene.core.take_members(std::array{again}, "test");
}

} // namespace

// A caller's draft stands still in the middle: its upstream lost power and was started again under
// its name, and the connection to the former start stays silent. The list tells of the new start;
// the draft goes on from its backup at once and not when the caller has given up.
TEST_CASE("a draft whose upstream started again goes on from its backup", "[stream][restart]")
{
    forward_scene scene;
    tell_starts(scene);
    running_draft draft{scene};
    script_upstream* const keeper = keeper_of(scene, draft);
    REQUIRE(keeper != nullptr);
    start_again(scene, *draft.source);
    scene.run_until([&] { return !keeper->connections_with("Last-Event-Id: 3").empty(); });
    auto const resumed = keeper->connections_with("Last-Event-Id: 3").front();
    resumed->send(stream_head("id-1") + event_chunk(4) + std::string{last_chunk});
    scene.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(count(draft.caller->received, "data: e") == 4);
    CHECK(scene.core.ledger.own_generations().empty());
}

// Without a backup nothing is left of it: the caller is told at once that the answer broke off.
TEST_CASE("a draft whose upstream started again without a backup breaks off at once",
          "[stream][restart]")
{
    forward_scene scene;
    tell_starts(scene);
    for (std::size_t i = 2; i < 5; ++i)
    {
        state::member_key const key = state::key_of(scene.upstreams[i]->listing("engine", 1).name,
                                                    state::incarnation{first_start + i});
        scene.core.ledger.add(key, {key, 5, 22'000, 23'000, 0});
    }
    running_draft draft{scene};
    start_again(scene, *draft.source);
    scene.run_until([&] { return draft.caller->ended; });
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
}

// The upstream that keeps the backup starts again and has nothing of it. When the draft's own
// upstream breaks off afterwards, the draft must not be sent there to go on from memory that isn't
// there.
TEST_CASE("a backup is not counted on once its upstream started again", "[stream][restart]")
{
    forward_scene scene;
    tell_starts(scene);
    running_draft draft{scene};
    script_upstream* const keeper = keeper_of(scene, draft);
    REQUIRE(keeper != nullptr);
    start_again(scene, *keeper);
    draft.sent->reset();
    scene.run_until([&] { return draft.caller->ended; });
    CHECK(scene.sends("Kv-From: ") == 0);
}

// The draft was sent and had no event yet when its upstream started again. The former start may
// have run it, so the caller is not told that it hasn't: that would invite a second run.
TEST_CASE("a draft sent to a former start is answered as one that may have run",
          "[stream][restart]")
{
    forward_scene scene;
    tell_starts(scene);
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    script_upstream& source = scene.upstream_of("id-1");
    start_again(scene, source);
    scene.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(scene.sends("id-1") == 1);
}

// An entry of another writer stands in place of the upstream's own. The draft that runs there goes
// on; a new one goes elsewhere.
TEST_CASE("a draft runs on while its upstream's entry is unreadable", "[stream][restart]")
{
    forward_scene scene;
    running_draft draft{scene};
    std::string const name = draft.source->listing("engine", 1).name;
    scene.core.take_unusable(std::array{protocol::unusable_entry{name, 9, "slots"}}, "test");
    draft.sent->send(event_chunk(4) + std::string{last_chunk});
    scene.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    auto const other = scene.call("/draft/2", "id-2", draft_fields);
    CHECK(&scene.upstream_of("id-2") != draft.source);
}
