#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

/// \brief One way of an upstream to say that it leaves.
struct leaving_answer
{
    unsigned status = 200;
    std::string_view fields;
    /// \brief Answers under the id of an earlier call.
    bool is_late = false;
};

constexpr std::array<leaving_answer, 4> leaving_answers{
    {{200, "Plumdale-Response-Seal: seal\r\nServer-Leaving: 1\r\n"},
     {500, "Plumdale-Response-Seal: seal\r\nServer-Leaving: 1\r\n"},
     {503, "Plumdale-Not-Executed: 1\r\nServer-Leaving: 1\r\n"},
     {200, "Plumdale-Response-Seal: seal\r\nServer-Leaving: 1\r\n", true}}};

/// \brief Sends calls until the first plain upstream got one and gave `answer`.
void call_until_answered(forward_fixture& fixture, leaving_answer const& answer)
{
    scripted_upstream const& leaving = *fixture.upstreams[0];
    for (int i = 0; leaving.call_count() == 0; ++i)
    {
        std::string const id = "first-" + std::to_string(100 + i);
        auto const caller = fixture.call("/event/" + id, id);
        scripted_upstream& asked = fixture.upstream_of(id);
        if (&asked == &leaving)
        {
            asked.connections_with(id).front()->send(
                answer_text(answer.status, answer.is_late ? "earlier" : id, "", answer.fields));
            // A call that it refused goes to the other upstream.
            fixture.run_until(
                [&] {
                    return !caller->received.empty() || !fixture.upstreams[1]->connections.empty();
                });
        }
        for (auto const& each : fixture.upstreams[1]->connections_with(id))
        {
            each->send(answer_text(200, id, "", signature_field));
        }
        fixture.run_until([&] { return !caller->received.empty(); });
    }
}

} // namespace

// Guards against requests to an upstream that said in an answer that it leaves: with the store out
// of reach it got as many as before, until it was gone.
TEST_CASE("no call follows an answer that says that its upstream leaves", "[leaving]")
{
    for (leaving_answer const& answer : leaving_answers)
    {
        CAPTURE(answer.status, answer.is_late);
        forward_fixture fixture;
        call_until_answered(fixture, answer);
        for (int i = 0; i < 20; ++i)
        {
            std::string const id = "id-" + std::to_string(100 + i);
            auto const caller = fixture.call("/event/" + id, id);
            fixture.upstream_of(id).connections_with(id).front()->send(
                answer_text(200, id, "", signature_field));
            fixture.run_until([&] { return !caller->received.empty(); });
        }
        CHECK(fixture.upstreams[0]->call_count() == 1);
    }
}

// Guards against the same of drafts: an engine that says so in the head of a stream.
TEST_CASE("no draft follows a stream whose engine says that it leaves", "[leaving]")
{
    forward_fixture fixture{2};
    auto const first = fixture.call("/draft/1", "first", draft_fields);
    scripted_upstream& leaving = fixture.upstream_of("Plumdale-Request-Id: first");
    std::string head = stream_head("first");
    head.insert(head.find("\r\n") + 2, "Server-Leaving: 1\r\n");
    leaving.connections_with("first").front()->send(head + event_chunk(1));
    fixture.run_until([&] { return first->received.find("data: e1") != std::string::npos; });
    for (int i = 0; i < 4; ++i)
    {
        std::string const id = "id-" + std::to_string(100 + i);
        auto const caller = fixture.call("/draft/" + id, id, draft_fields);
        scripted_upstream const& asked = fixture.upstream_of("Plumdale-Request-Id: " + id);
        CHECK(&asked != &leaving);
        asked.connections_with(id).front()->send(stream_head(id) + event_chunk(1));
        fixture.run_until([&] { return caller->received.find("data: e1") != std::string::npos; });
    }
}

TEST_CASE("peers are informed of an upstream whose answer says that it leaves", "[leaving]")
{
    forward_fixture fixture;
    fixture.core.unreported.clear();
    call_until_answered(fixture, leaving_answers[0]);
    REQUIRE(fixture.core.unreported.size() == 1);
    CHECK(fixture.core.unreported.front().name == "i-0");
    CHECK(fixture.core.unreported.front().leaving);
}

// Guards against an upstream that is taken out of use by the answer of another one, which has its
// address now.
TEST_CASE("the answer of another incarnation states nothing about an upstream", "[leaving]")
{
    forward_fixture fixture;
    call_until_answered(fixture, {421, "Plumdale-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
                                       "Server-Limit: 1\r\nPlumdale-Cold-Ms: 700\r\n"});
    auto const key = state::id_from_name<state::member_key>("i-0");
    CHECK_FALSE(fixture.core.directory.find(key)->info.leaving);
    CHECK(fixture.core.directory.find(key)->cold_until == state::time_point{});
    CHECK_FALSE(fixture.core.limits.known().limit_of(key));
}
