#include "forward_fixture.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view request_line = "Plumdale-Request-Id: id-101";
constexpr std::string_view draft_fields = "Plumdale-Token-Usage: 3000,1800\r\n"
                                          "Plumdale-Request-Deadline-Ms: 39000\r\n";
/// \brief More than the system holds on both sides of a connection.
constexpr std::size_t large_body = 4'000'000;
constexpr std::uint32_t body_limit = 8'000'000;

void run_for(forward_fixture& fixture, state::duration time)
{
    auto const end = transport::boot_now() + time;
    fixture.run_until([end] { return transport::boot_now() >= end; });
}

/// \brief An upload of which its upstream has read only the beginning.
struct unread_upload
{
    explicit unread_upload(forward_fixture& under_test, std::size_t size = large_body)
        : fixture{under_test}
    {
        fixture.limits.body_bytes = body_limit;
        caller = fixture.upload("/draft/1", "id-101", size, draft_fields);
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
