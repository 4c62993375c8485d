#include "drawn_stream.hpp"
#include "forward_fixture.hpp"
#include "transport/stream_call.hpp"

#include <plumdale/protocol/raw_event_splitter.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <charconv>
#include <memory>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view resume_field = "Last-Event-Id: ";

std::string chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    auto const end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    return bytes.empty() ? std::string{}
                         : std::string{size.data(), end.ptr} + "\r\n" + std::string{bytes} + "\r\n";
}

/// \brief Returns the body that the caller has got so far.
std::string body_of(scripted_caller const& caller)
{
    std::size_t at = caller.received.find("\r\n\r\n");
    std::string body;
    while (at != std::string::npos && at + 4 < caller.received.size())
    {
        at += body.empty() ? 4 : 2;
        std::size_t size = 0;
        char const* const first = caller.received.data() + at;
        char const* const end = caller.received.data() + caller.received.size();
        auto const parsed = std::from_chars(first, end, size, 16);
        std::size_t const begin = at + static_cast<std::size_t>(parsed.ptr - first) + 2;
        if (size == 0 || begin + size + 2 > caller.received.size())
        {
            break;
        }
        body += caller.received.substr(begin, size);
        at = begin + size;
    }
    return body;
}

/// \brief Returns the id that a resumption asks to go on after.
std::uint64_t resumed_after(scripted_connection const& upstream)
{
    std::size_t const at = upstream.received.find(resume_field) + resume_field.size();
    return std::stoull(upstream.received.substr(at));
}

/// \brief Returns whether an id names the last event of the bytes.
bool ends_with_number(std::string_view bytes)
{
    protocol::raw_event_splitter events;
    events.append(bytes);
    bool is_numbered = false;
    while (auto const event = events.next())
    {
        is_numbered = event->id || (is_numbered && !event->is_event);
    }
    return is_numbered;
}

bool has_ended(scripted_caller const& caller)
{
    return caller.ended || caller.received.ends_with(last_chunk) ||
           caller.received.starts_with("HTTP/1.1 502 ");
}

/// \brief A draft at an entry VM of its own, so that its resumption has a repeat.
struct played_draft
{
    void send(std::string_view bytes)
    {
        upstream->send(stream_head("id-1") + std::string{bytes});
    }

    /// \brief Takes away the upstream's process but for the stream, which is then ended.
    void lose_upstream()
    {
        fixture.upstream_of("Plumdale-Request-Id: id-1").stop_listening();
    }

    forward_fixture fixture;
    std::shared_ptr<scripted_caller> caller = fixture.call("/draft/1", "id-1", draft_fields);
    std::shared_ptr<scripted_connection> upstream =
        fixture.upstream_connection("Plumdale-Request-Id: id-1");
};

} // namespace

// Guards against comments that cost the caller the events after them, in a stream that ends as
// complete.
TEST_CASE("comments and fields without data cost no event", "[stream][event-stream]")
{
    played_draft draft;
    std::string const first = ": at work\n\nid: 1\ndata: a\n\n";
    std::string const others = ": at work\n\n: at work\n\nid: 2\n"
                               "data: b\n\nretry: 9\n\ncolour: red\n\ndata: unnumbered\n\nid: 3\n"
                               "data: c\n\n\n\n: at work\n";
    draft.send(chunk(first));
    draft.fixture.run_until([&] { return body_of(*draft.caller) == first; });
    draft.upstream->send(chunk(others) + std::string{last_chunk});
    draft.fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(body_of(*draft.caller) == first + others);
}

// Guards against a comment that is counted where the stream goes on: the next upstream would leave
// out the events in between.
TEST_CASE("a resumption asks for what follows the last id", "[stream][event-stream]")
{
    played_draft draft;
    draft.send(chunk("id: 1\ndata: a\n\n: at work\n\nretry: 5\n\n: at work\n\n"));
    draft.fixture.run_until(
        [&] { return body_of(*draft.caller).ends_with("retry: 5\n\n: at work\n\n"); });
    draft.lose_upstream();
    draft.upstream->reset();
    auto const resumed = draft.fixture.upstream_connection("Kv-From: ");
    CHECK(resumed_after(*resumed) == 1);
    resumed->send(stream_head("id-1") + chunk(": at work\n\nid: 2\ndata: b\n\n") +
                  std::string{last_chunk});
    draft.fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(body_of(*draft.caller).ends_with(": at work\n\nid: 2\ndata: b\n\n"));
}

// Guards against an event that comes twice: no id tells the next upstream that the caller has it.
TEST_CASE("a stream that breaks after an event without a number is not resumed",
          "[stream][event-stream]")
{
    std::string const last = GENERATE("data: b\n\n", "id: 0a\ndata: b\n\n");
    played_draft draft;
    draft.send(chunk("id: 1\ndata: a\n\n" + last));
    draft.fixture.run_until([&] { return body_of(*draft.caller).ends_with(last); });
    draft.upstream->reset();
    draft.fixture.run_until([&] { return draft.caller->ended; });
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
    CHECK(draft.fixture.request_count("Kv-From: ") == 0);
}

// Guards against an event beyond a VM's memory that is passed on in part, in a stream that looks
// whole.
TEST_CASE("an event that is larger than a VM holds breaks its stream off", "[stream][event-stream]")
{
    played_draft draft;
    draft.send(chunk("id: 1\ndata: a\n\n"));
    draft.fixture.run_until([&] { return body_of(*draft.caller).ends_with("data: a\n\n"); });
    std::string const bytes(transport::stream_call::max_event_bytes + 8'192, 'x');
    draft.upstream->send_large(chunk("id: 2\ndata: " + bytes + "\n\n") + std::string{last_chunk});
    draft.fixture.run_until([&] { return draft.caller->ended || draft.upstream->ended; });
    CHECK(body_of(*draft.caller) == "id: 1\ndata: a\n\n");
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
}

// Guards against a stream without a length that looks whole although it was closed inside a block.
TEST_CASE("a stream that is closed inside a block is broken off", "[stream][event-stream]")
{
    std::string const last = GENERATE(": at work\n", ": at", "retry: 5\n", "id: 2\rdata: b\r");
    played_draft draft;
    draft.upstream->send("HTTP/1.1 200 OK\r\nPlumdale-Request-Id: id-1\r\n"
                         "Plumdale-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
                         "id: 1\ndata: a\n\n" +
                         last);
    draft.fixture.run_until(
        [&] { return body_of(*draft.caller).find("data: a") != std::string::npos; });
    draft.lose_upstream();
    draft.upstream->close();
    auto const resumed = draft.fixture.upstream_connection("Kv-From: ");
    CHECK(resumed_after(*resumed) == 1);
    CHECK(draft.caller->received.find(last_chunk) == std::string::npos);
}

// Guards against an end in order inside a block that costs the caller the block's bytes.
TEST_CASE("what follows the last event of a whole stream is passed on", "[stream][event-stream]")
{
    std::string const last = GENERATE(": at work\n", ": at", "id: 2\ndata: b\n");
    played_draft draft;
    draft.send(chunk("id: 1\ndata: a\n\n" + last) + std::string{last_chunk});
    draft.fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
    CHECK(body_of(*draft.caller) == "id: 1\ndata: a\n\n" + last);
}

// Guards against a stream that reaches its caller changed where it arrives in other parts.
TEST_CASE("drawn streams cut at each byte reach the caller as they were sent",
          "[stream][event-stream]")
{
    for (std::uint64_t seed = 0; seed < 6; ++seed)
    {
        drawn_stream const drawn{seed};
        std::string const text = drawn.text();
        for (std::size_t cut = 0; cut <= text.size(); ++cut)
        {
            CAPTURE(seed, cut, text);
            played_draft draft;
            draft.send(chunk(text.substr(0, cut)));
            auto const arrived = read_events(text.substr(0, cut));
            draft.fixture.run_until([&] { return read_events(body_of(*draft.caller)) == arrived; });
            draft.upstream->send(chunk(text.substr(cut)) + std::string{last_chunk});
            draft.fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
            REQUIRE(body_of(*draft.caller) == text);
        }
    }
}

// Guards against events that are missing or come twice where a stream breaks at any byte.
TEST_CASE("drawn streams that break at any byte go on without loss", "[stream][event-stream]")
{
    std::size_t resumed_streams = 0;
    for (std::uint64_t seed = 0; seed < 6; ++seed)
    {
        drawn_stream drawn{seed};
        std::string const text = drawn.text();
        for (std::size_t cut = 0; cut < text.size(); ++cut)
        {
            CAPTURE(seed, cut, text);
            played_draft draft;
            draft.send(chunk(text.substr(0, cut)));
            auto const arrived = read_events(text.substr(0, cut));
            draft.fixture.run_until([&] { return read_events(body_of(*draft.caller)) == arrived; });
            draft.lose_upstream();
            draft.upstream->close();
            auto const is_resumed = [&]
            {
                return draft.fixture.request_count(resume_field) != 0;
            };
            draft.fixture.run_until([&] { return is_resumed() || has_ended(*draft.caller); });
            REQUIRE(is_resumed() == (!arrived.empty() && ends_with_number(text.substr(0, cut))));
            if (!is_resumed())
            {
                REQUIRE(draft.caller->received.find(last_chunk) == std::string::npos);
                continue;
            }
            auto const resumed = draft.fixture.upstream_connection(resume_field);
            resumed->send(stream_head("id-1") + chunk(drawn.text_after(resumed_after(*resumed))) +
                          std::string{last_chunk});
            draft.fixture.run_until([&] { return draft.caller->received.ends_with(last_chunk); });
            REQUIRE(read_events(body_of(*draft.caller)) == read_events(text));
            ++resumed_streams;
        }
    }
    CHECK(resumed_streams > 300);
}
