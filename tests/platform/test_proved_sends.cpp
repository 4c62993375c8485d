#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// What proves that a plain call did not run, and what only looks like it.

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view not_run_field = "Plumdale-Not-Executed: 1\r\n";
constexpr auto discarded = transport::forward_count::answers_discarded;

std::string field_of(std::string_view id)
{
    return "Plumdale-Request-Id: " + std::string{id} + "\r\n";
}

std::size_t count(std::string_view text, std::string_view pattern)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(pattern); at != std::string::npos;
         at = text.find(pattern, at + 1))
    {
        ++found;
    }
    return found;
}

bool has_answer(scripted_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

std::string answer_without_id(unsigned status, std::string_view fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + std::string{fields} +
           "Content-Length: 2\r\n\r\nno";
}

/// \brief A call that was sent on a connection which has carried another one.
struct call_on_kept_connection
{
    call_on_kept_connection(forward_fixture& fixture, std::string_view path)
    {
        for (int i = 0;; ++i)
        {
            id = "id-" + std::to_string(100 + i);
            caller = fixture.call(path, id);
            connection = fixture.upstream_connection(field_of(id));
            if (count(connection->received, "Plumdale-Request-Id: ") > 1)
            {
                return;
            }
            connection->send(answer_text(200, id, "whole", signature_field));
            fixture.run_until([this] { return caller->received.ends_with("whole"); });
        }
    }

    std::string id;
    std::shared_ptr<scripted_caller> caller;
    std::shared_ptr<scripted_connection> connection;
};

} // namespace

// Guards against a call that is sent again or refused as not run, because of an answer that was
// sent before it arrived.
TEST_CASE("an answer without the call's id is no proof that the call did not run", "[proved_sends]")
{
    for (unsigned const status : {400U, 408U, 421U, 429U, 503U})
    {
        for (std::string_view const field : {not_run_field, std::string_view{}})
        {
            CAPTURE(status, field);
            forward_fixture fixture;
            call_on_kept_connection const call{fixture, "/event/1"};
            call.connection->send(answer_without_id(status, field));
            fixture.run_until([&] { return has_answer(*call.caller); });
            CHECK(call.caller->received.starts_with("HTTP/1.1 502 "));
            CHECK(fixture.request_count(field_of(call.id)) == 1);
            fixture.run_until([&] { return call.connection->ended; });
        }
    }
}

// Guards against a call that is lost to what came before it was written: it is seen at rest.
TEST_CASE("a connection on which something came at rest carries no further call", "[proved_sends]")
{
    for (unsigned const status : {400U, 408U, 503U})
    {
        CAPTURE(status);
        forward_fixture fixture;
        call_on_kept_connection const call{fixture, "/event/1"};
        call.connection->send(answer_text(200, call.id, "whole", signature_field));
        fixture.run_until([&] { return call.caller->received.ends_with("whole"); });
        call.connection->send(answer_without_id(status, not_run_field));
        // A sender may hold small segments back until the ones before are acknowledged.
        auto const arrived = std::chrono::steady_clock::now() + 100ms;
        fixture.run_until([arrived] { return std::chrono::steady_clock::now() > arrived; });
        // Calls go to either upstream, until one looks at that connection.
        constexpr int max_calls = 50;
        transport::forward_metrics const& metrics = fixture.core.metrics;
        for (int i = 0; i < max_calls && metrics.value(discarded) == 0; ++i)
        {
            std::string const id = "next-" + std::to_string(i);
            auto const caller = fixture.call("/event/1", id);
            fixture.upstream_connection(field_of(id))
                ->send(answer_text(200, id, "right", signature_field));
            fixture.run_until([&] { return has_answer(*caller); });
            REQUIRE(caller->received.ends_with("right"));
        }
        CHECK(count(call.connection->received, field_of(call.id)) == 1);
        CHECK(call.connection->received.find("next-") == std::string::npos);
        CHECK(metrics.value(discarded) == 1);
    }
}

// Guards against a caller that gets an answer which belongs to no call.
TEST_CASE("a success without the call's id is not passed on", "[proved_sends]")
{
    for (std::string_view const path : {"/event/1", "/draft/1"})
    {
        forward_fixture fixture;
        auto const caller = fixture.call(path, "id-1", "Plumdale-Token-Usage: 2800,900\r\n");
        fixture.upstream_connection("id-1")->send(answer_without_id(200, signature_field));
        fixture.run_until([&] { return has_answer(*caller); });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
        CHECK(fixture.request_count("id-1") == 1);
    }
}

// Guards against a second run of a call whose answer says both that it ran and that it did not.
TEST_CASE("only a refusal can state that a call did not run", "[proved_sends]")
{
    for (unsigned const status : {200U, 404U, 500U, 502U, 504U})
    {
        CAPTURE(status);
        forward_fixture fixture;
        auto const caller = fixture.call("/event/1", "id-1");
        fixture.upstream_connection("id-1")->send(answer_text(
            status, "id-1", "ran", std::string{signature_field} + std::string{not_run_field}));
        fixture.run_until([&] { return has_answer(*caller); });
        CHECK(fixture.request_count("id-1") == 1);
        CHECK(caller->received.starts_with("HTTP/1.1 " + std::to_string(status)));
    }
}

// Guards against a second copy of a refusal that is taken for the answer to a later send of the
// same call: its id is right, and that send runs.
TEST_CASE("a call is sent to one upstream twice on two connections only", "[proved_sends]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-1");
    std::size_t refused = 0;
    fixture.run_until(
        [&]
        {
            for (auto const& upstream : fixture.upstreams)
            {
                for (auto const& each : upstream->take_unanswered(field_of("id-1")))
                {
                    ++refused;
                    each->send(answer_text(503, "id-1", "", not_run_field));
                }
            }
            return has_answer(*caller);
        });
    CHECK(refused > forward_fixture::plain_upstreams);
    CHECK(caller->received.starts_with("HTTP/1.1 503 "));
    for (auto const& upstream : fixture.upstreams)
    {
        for (auto const& each : upstream->connections)
        {
            CHECK(count(each->received, field_of("id-1")) <= 1);
        }
    }
}
