#include "closed_draft.hpp"
#include "forward_fixture.hpp"
#include "peer_vm.hpp"
#include "short_objective.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view request_line = "Plumdale-Request-Id: id-101";
constexpr std::string_view upload_fields = "Plumdale-Token-Usage: 3000,1800\r\n"
                                           "Plumdale-Request-Deadline-Ms: 39000\r\n";
/// \brief More than the system holds on both sides of a connection.
constexpr std::size_t large_body = 4'000'000;
constexpr std::uint32_t body_limit = 8'000'000;

/// \brief An upload of which its upstream has read only the beginning.
struct unread_upload
{
    explicit unread_upload(forward_fixture& under_test, std::string_view path = "/draft/1")
        : fixture{under_test}
    {
        fixture.limits.body_bytes = body_limit;
        caller = fixture.upload(path, "id-101", large_body, upload_fields);
        run = fixture.upstream_connection(request_line);
        run->pause_reading();
    }

    /// \brief Returns how long it takes until the caller has an answer.
    state::duration time_to_answer()
    {
        auto const start = transport::boot_now();
        fixture.run_until([this] { return caller->ended || !caller->received.empty(); });
        return transport::boot_now() - start;
    }

    forward_fixture& fixture;
    std::shared_ptr<scripted_caller> caller;
    std::shared_ptr<scripted_connection> run;
};

} // namespace

// Guards against a call that is given up as its upstream reads nothing of its body for a while.
TEST_CASE("an upstream that reads nothing for seconds gets the whole body", "[sent_bodies]")
{
    auto const silence = GENERATE(3'500ms, 6'500ms);
    forward_fixture fixture;
    unread_upload upload{fixture};
    run_for(fixture, silence);
    CHECK_FALSE(upload.run->ended);
    CHECK(upload.caller->received.empty());
    upload.run->resume_reading();
    fixture.run_until(
        [&] {
            return upload.run->received.size() > large_body || upload.run->ended ||
                   upload.caller->ended;
        });
    upload.run->send(stream_head("id-101") + event_chunk(1) + "0\r\n\r\n");
    fixture.run_until(
        [&] { return upload.caller->received.ends_with("0\r\n\r\n") || upload.caller->ended; });
    CHECK(upload.caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(upload.caller->received.find("data: e1") != std::string::npos);
}

// Guards against a lost path that is taken for an upstream that reads slowly.
TEST_CASE("a body of which nothing is acknowledged ends its send within seconds", "[sent_bodies]")
{
    auto const unread_before = GENERATE(0ms, 1'000ms);
    forward_fixture fixture;
    unread_upload upload{fixture};
    run_for(fixture, unread_before);
    upload.run->lose_path();
    CHECK(upload.time_to_answer() < 4'500ms);
    CHECK(upload.caller->received.starts_with("HTTP/1.1 502 "));
}

namespace
{

/// \brief How an upstream that has read only the beginning of a body ends its answer.
struct early_end
{
    std::string_view path;
    /// \brief Bytes of the answer's part that arrive; several reads for more than 4,096.
    std::size_t bytes;
    /// \brief Between the last of them and the end.
    state::duration pause;
};

constexpr std::array early_ends{early_end{"/event/1", 4, 0ms},   early_end{"/event/1", 9'000, 0ms},
                                early_end{"/event/1", 4, 30ms},  early_end{"/event/1", 0, 0ms},
                                early_end{"/draft/1", 300, 0ms}, early_end{"/draft/1", 9'000, 0ms},
                                early_end{"/draft/1", 300, 30ms}};

/// \brief Whole events of so many bytes, at least.
std::string events_of(std::size_t bytes)
{
    std::string text;
    for (int id = 1; text.size() < bytes; ++id)
    {
        text += event(id);
    }
    return text;
}

void send_part(forward_fixture& fixture, scripted_connection& run, early_end const& early)
{
    run.send(closed_head("id-101") + events_of(early.bytes));
    if (early.pause > 0ms)
    {
        run_for(fixture, early.pause);
    }
}

/// \brief Returns whether the caller was given an answer that looks whole to it.
bool looks_whole(scripted_caller const& caller)
{
    return caller.received.starts_with("HTTP/1.1 200 ") &&
           (caller.received.ends_with(last_chunk) ||
            caller.received.find("Content-Length: ") != std::string::npos);
}

} // namespace

// Guards against part of an answer that passes for a whole one: the write of the body is what
// notices the reset, and the read behind it finds an end.
TEST_CASE("an answer that is reset while its body is sent is not whole", "[sent_bodies]")
{
    auto const early = GENERATE(from_range(early_ends));
    bool const through_peer = GENERATE(false, true);
    INFO(early.path << " " << early.bytes << " through a peer: " << through_peer);
    forward_fixture fixture{1};
    dead_address const nowhere{lost_path::refused};
    peer_vm peer{fixture, 1};
    if (early.path == "/draft/1")
    {
        fixture.core.apply_configuration(std::string{short_objective}, "test");
        peer.core.apply_configuration(std::string{short_objective}, "test");
    }
    if (through_peer)
    {
        peer.limits.body_bytes = body_limit;
        peer.join();
        cut_paths(fixture, fixture.core, nowhere);
    }
    unread_upload upload{fixture, early.path};
    scripted_upstream& upstream = fixture.upstream_of(request_line);
    send_part(fixture, *upload.run, early);
    upload.run->reset();
    run_with_reports(fixture, upstream,
                     [&]
                     {
                         return upload.caller->ended || looks_whole(*upload.caller) ||
                                upload.caller->received.starts_with("HTTP/1.1 502 ");
                     });
    CHECK_FALSE(looks_whole(*upload.caller));
    CHECK(fixture.request_count(request_line) == 1);
}

// Guards against an idempotent call that is answered by the part of an answer.
TEST_CASE("an idempotent call whose answer is reset while its body is sent goes elsewhere",
          "[sent_bodies]")
{
    forward_fixture fixture;
    unread_upload upload{fixture, "/fetch/1"};
    scripted_upstream& first = fixture.upstream_of(request_line);
    send_part(fixture, *upload.run, {"/fetch/1", 4, 0ms});
    upload.run->reset();
    run_with_reports(fixture, first,
                     [&] {
                         return fixture.request_count(request_line) == 2 ||
                                !upload.caller->received.empty();
                     });
    CHECK(upload.caller->received.empty());
    CHECK(fixture.request_count(request_line) == 2);
}

// Guards against a whole answer that counts as cut: its upstream needed no more of the body, closed
// in order, and refuses what is still sent.
TEST_CASE("an answer that ends in order before its body is sent is whole", "[sent_bodies]")
{
    bool const resets_later = GENERATE(false, true);
    forward_fixture fixture;
    unread_upload upload{fixture, "/event/1"};
    scripted_upstream& upstream = fixture.upstream_of(request_line);
    upload.run->send(closed_head("id-101") + "whole");
    upload.run->close();
    if (resets_later)
    {
        upload.run->reset();
    }
    run_with_reports(fixture, upstream, [&] { return !upload.caller->received.empty(); });
    CHECK(upload.caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(upload.caller->received.ends_with("whole"));
}
