#include "forward_fixture.hpp"
#include "peer_vm.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <span>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// An upstream ends in the middle of its answer's head. Guards against callers that get a 200 with
// an empty or short body, framed as whole.

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

enum class ending : std::uint8_t
{
    closed,
    reset,
    silent
};

/// \brief Heads whose bodies end by their length, by chunks, and with the connection.
std::vector<std::string> heads_of(std::string_view id)
{
    std::string const common = "HTTP/1.1 200 OK\r\nPlumdale-Request-Id: " + std::string{id} +
                               "\r\nPlumdale-Response-Seal: seal\r\n";
    return {common + "Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
            common + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            common + "Content-Type: text/event-stream\r\n\r\n"};
}

std::string id_field(std::string_view id)
{
    return "Plumdale-Request-Id: " + std::string{id} + "\r\n";
}

bool has_answer(scripted_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

void end(scripted_connection& upstream, ending how)
{
    if (how == ending::closed)
    {
        upstream.close();
    }
    else if (how == ending::reset)
    {
        upstream.reset();
    }
}

/// \brief Sends a part of a head for the call of this id, and checks what its caller gets.
void check_cut(forward_fixture& fixture, scripted_caller const& caller, std::string_view id,
               std::string_view part, ending how)
{
    auto const upstream = fixture.upstream_connection(id_field(id));
    upstream->send(part);
    end(*upstream, how);
    fixture.run_until([&] { return has_answer(caller); });
    CHECK(caller.received.starts_with("HTTP/1.1 502 "));
    CHECK(fixture.request_count(id_field(id)) == 1);
}

/// \brief Leaves one upstream of the plain service, and a kept connection to it.
void keep_connection(forward_fixture& fixture)
{
    state::service_member leaving = fixture.upstreams[1]->make_member("plain", 2);
    leaving.leaving = true;
    fixture.core.apply_members(std::array{leaving}, "test");
    auto const caller = fixture.call("/event/0", "id-0");
    fixture.upstream_connection(id_field("id-0"))
        ->send(answer_text(200, "id-0", "whole", "Plumdale-Response-Seal: seal\r\n"));
    fixture.run_until([&] { return has_answer(*caller); });
}

struct kind_of_call
{
    std::string_view path;
    std::string_view fields;
};

constexpr std::array kinds{kind_of_call{"/event/1", {}}, kind_of_call{"/draft/1", draft_fields}};

} // namespace

TEST_CASE("an answer that ends inside its head is never passed on", "[cut_heads]")
{
    auto const kind = GENERATE(from_range(kinds));
    auto const how = GENERATE(ending::closed, ending::reset);
    bool const after_interim = GENERATE(false, true);
    std::vector<std::string> const heads = heads_of("id-1");
    // How the body ends makes no difference to what an interim answer is followed by.
    for (std::string const& whole : std::span{heads}.first(after_interim ? 1 : heads.size()))
    {
        for (std::size_t bytes = 0; bytes < whole.size(); ++bytes)
        {
            INFO(kind.path << " " << bytes << " of " << whole);
            forward_fixture fixture;
            auto const caller = fixture.call(kind.path, "id-1", kind.fields);
            std::string const part =
                (after_interim ? std::string{interim} : "") + whole.substr(0, bytes);
            check_cut(fixture, *caller, "id-1", part, how);
        }
    }
}

TEST_CASE("an answer that ends inside its head on a kept connection is never passed on",
          "[cut_heads]")
{
    auto const how = GENERATE(ending::closed, ending::reset);
    for (std::string const& whole : heads_of("id-1"))
    {
        // Without any byte the connection was dropped while it was idle.
        for (std::size_t bytes = 1; bytes < whole.size(); ++bytes)
        {
            INFO(bytes << " of " << whole);
            forward_fixture fixture;
            keep_connection(fixture);
            auto const caller = fixture.call("/event/1", "id-1");
            auto const upstream = fixture.upstream_connection(id_field("id-1"));
            REQUIRE(upstream->received.find(id_field("id-0")) != std::string::npos);
            check_cut(fixture, *caller, "id-1", whole.substr(0, bytes), how);
        }
    }
}

TEST_CASE("an answer that ends inside its head is never passed on by a peer", "[cut_heads]")
{
    auto const kind = GENERATE(from_range(kinds));
    auto const how = GENERATE(ending::closed, ending::reset);
    dead_address const nowhere{lost_path::refused};
    std::string const whole = heads_of("id-1").front();
    for (std::size_t bytes = 0; bytes < whole.size(); bytes += 3)
    {
        INFO(kind.path << " " << bytes << " of " << whole);
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        cut_paths(fixture, fixture.core, nowhere);
        auto const caller = fixture.call(kind.path, "id-1", kind.fields);
        check_cut(fixture, *caller, "id-1", whole.substr(0, bytes), how);
    }
}

TEST_CASE("an idempotent call whose answer ends inside its head is served elsewhere", "[cut_heads]")
{
    auto const how = GENERATE(ending::closed, ending::reset);
    std::string const whole = heads_of("id-1").front();
    for (std::size_t bytes = 0; bytes < whole.size(); bytes += 5)
    {
        INFO(bytes << " of " << whole);
        forward_fixture fixture;
        auto const caller = fixture.call("/fetch/1", "id-1");
        scripted_upstream& first = fixture.upstream_of(id_field("id-1"));
        auto const upstream = first.connections_with(id_field("id-1")).front();
        upstream->send(whole.substr(0, bytes));
        end(*upstream, how);
        fixture.run_until(
            [&] { return fixture.request_count(id_field("id-1")) == 2 || has_answer(*caller); });
        for (auto const& other : fixture.upstreams)
        {
            for (auto const& each : other->connections_with(id_field("id-1")))
            {
                if (each != upstream)
                {
                    each->send(
                        answer_text(200, "id-1", "whole", "Plumdale-Response-Seal: seal\r\n"));
                }
            }
        }
        fixture.run_until([&] { return has_answer(*caller); });
        bool const is_whole = caller->received.starts_with("HTTP/1.1 200 ") &&
                              caller->received.ends_with("\r\n\r\nwhole");
        CHECK((is_whole || caller->received.starts_with("HTTP/1.1 502 ")));
    }
}

namespace
{

/// \brief Silence after each number of bytes, for some calls at a time.
struct silent_heads
{
    kind_of_call kind;
    std::size_t calls_at_once = 0;
    std::size_t step = 1;
    bool through_peer = false;
};

// More drafts at once would wait for the engines.
constexpr std::array silences{
    silent_heads{{"/short/1", {}}, 12}, silent_heads{{"/short/1", {}}, 12, 5, true},
    silent_heads{{"/draft/1", "Plumdale-Token-Usage: 3000,18\r\nPlumdale-Length-Hint: 9\r\n"
                              "Plumdale-Request-Deadline-Ms: 1500\r\n"},
                 5,
                 5}};

} // namespace

TEST_CASE("an answer that falls silent inside its head ends with the call's time", "[cut_heads]")
{
    auto const silence = GENERATE(from_range(silences));
    std::string const whole = heads_of("id-00")[1];
    dead_address const nowhere{lost_path::refused};
    for (std::size_t bytes = 0; bytes < whole.size();)
    {
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        if (silence.through_peer)
        {
            peer.join();
            cut_paths(fixture, fixture.core, nowhere);
        }
        std::vector<std::shared_ptr<scripted_caller>> callers;
        for (; callers.size() < silence.calls_at_once && bytes < whole.size();
             bytes += silence.step)
        {
            std::string const id = "id-" + std::to_string(10 + callers.size());
            callers.push_back(fixture.call(silence.kind.path, id, silence.kind.fields));
            std::string head = whole;
            head.replace(head.find("id-00"), 5, id);
            fixture.upstream_connection(id_field(id))->send(head.substr(0, bytes));
        }
        fixture.run_until(
            [&]
            {
                return std::all_of(callers.begin(), callers.end(),
                                   [](auto const& each) { return has_answer(*each); });
            });
        for (auto const& caller : callers)
        {
            bool const is_end = caller->received.starts_with("HTTP/1.1 504 ") ||
                                caller->received.starts_with("HTTP/1.1 502 ");
            INFO(silence.kind.path << " " << caller->received.substr(0, 60));
            CHECK(is_end);
        }
    }
}
