#include "closed_draft.hpp"
#include "forward_fixture.hpp"
#include "peer_vm.hpp"
#include "running_draft.hpp"
#include "starting_vm.hpp"
#include "transport/boot_clock.hpp"

#include <plumdale/protocol/peer_call.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// Upstreams, peers and the store send statuses that no answer can have (RFC 9110, 15).

namespace
{

constexpr std::string_view seal_field = "Plumdale-Response-Seal: seal\r\n";
/// \brief Statuses that no answer has; no upstream is ever asked to switch to another protocol.
constexpr std::array<std::string_view, 8> none_statuses{"000", "001", "099", "101",
                                                        "600", "999", "20",  "2000"};
/// \brief A caller has its answer by then; its route allows 1.5 s.
constexpr auto at_once = 1s;

std::string head_with(std::string_view status, std::string_view id, std::string_view fields)
{
    std::string head = "HTTP/1.1 " + std::string{status} + " Text\r\n";
    head += id.empty() ? std::string{} : id_field(id) + "\r\n";
    return head.append(seal_field).append(fields).append("\r\n");
}

/// \brief One way to send a status with a body; the parts arrive one after the other.
struct framed_answer
{
    std::string_view name;
    std::vector<std::string> parts;
    bool closes = false;
};

std::vector<framed_answer> framed_answers(std::string_view status, std::string_view id)
{
    constexpr std::string_view length = "Content-Length: 8\r\n";
    return {{"by close", {head_with(status, id, {}) + "yes, yes"}, true},
            {"by length, in two parts", {head_with(status, id, length) + "yes,", " yes"}},
            {"in chunks",
             {head_with(status, id, "Transfer-Encoding: chunked\r\n") + "8\r\n", "yes, yes\r\n",
              "0\r\n\r\n"}},
            {"all at once", {head_with(status, id, length) + "yes, yes"}},
            {"head alone", {head_with(status, id, "Content-Length: 0\r\n")}}};
}

void send_answer(forward_fixture& fixture, scripted_connection& connection,
                 framed_answer const& answer)
{
    for (std::string const& part : answer.parts)
    {
        connection.send(part);
        run_for(fixture, 5ms);
    }
    if (answer.closes)
    {
        connection.close();
    }
}

void check_failed(forward_fixture& fixture, scripted_caller const& caller)
{
    auto const begin = std::chrono::steady_clock::now();
    fixture.run_until([&] { return caller.received.find("\r\n\r\n") != std::string::npos; });
    CHECK(std::chrono::steady_clock::now() - begin < at_once);
    CHECK(caller.received.starts_with("HTTP/1.1 502 "));
    CHECK(caller.received.find("yes") == std::string::npos);
}

state::member_key key_of(scripted_upstream const& upstream, std::string const& service)
{
    return state::key_of(upstream.make_member(service, 1));
}

} // namespace

// -- calls ----------------------------------------------------------------------------------------

// Guards against a status of no class that is passed on, and one that is waited behind.
TEST_CASE("a plain call whose answer's status is none fails at once", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (framed_answer const& each : framed_answers(status, "id-1"))
        {
            INFO(status << ", " << each.name);
            forward_fixture fixture;
            auto const caller = fixture.call("/event/1", "id-1");
            send_answer(fixture, *fixture.upstream_connection("id-1"), each);
            check_failed(fixture, *caller);
            CHECK(caller->received.find("may_have_run") != std::string::npos);
            CHECK(fixture.request_count("id-1") == 1);
        }
    }
}

// Guards against an interim answer that is taken for the answer, or waited behind with a body.
TEST_CASE("a plain call is answered after interim answers, and not by one", "[statuses]")
{
    for (std::string_view const interim : {"100", "102", "103", "199"})
    {
        INFO(interim);
        forward_fixture fixture;
        auto const caller = fixture.call("/event/1", "id-1");
        auto const connection = fixture.upstream_connection("id-1");
        connection->send(head_with(interim, "id-1", {}));
        run_for(fixture, 5ms);
        CHECK(caller->received.empty());
        connection->send(answer_text(200, "id-1", "yes", seal_field));
        fixture.run_until([&] { return caller->received.ends_with("yes"); });
        CHECK(caller->received.starts_with("HTTP/1.1 200 "));

        forward_fixture other;
        auto const second = other.call("/event/1", "id-1");
        other.upstream_connection("id-1")->send(
            head_with(interim, "id-1", "Content-Length: 8\r\n") + "yes, yes");
        check_failed(other, *second);
    }
}

// Guards against what follows in a protocol that was never asked for.
TEST_CASE("nothing behind a status that is none is an answer", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (std::string const before : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
        {
            INFO(status << ", before: " << before);
            forward_fixture fixture;
            auto const caller = fixture.call("/event/1", "id-1");
            fixture.upstream_connection("id-1")->send(
                before + head_with(status, "id-1", "Content-Length: 0\r\n") +
                answer_text(200, "id-1", "yes", seal_field));
            check_failed(fixture, *caller);
        }
    }
}

// Guards against callers of idempotent calls that get such a status from the last upstream.
TEST_CASE("an idempotent call goes elsewhere after a status that is none", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (bool const is_second_sound : {true, false})
        {
            INFO(status << ", second sound " << is_second_sound);
            forward_fixture fixture;
            auto const caller = fixture.call("/fetch/1", "id-1");
            std::string const unsound = framed_answers(status, "id-1").back().parts.front();
            scripted_upstream& first = fixture.upstream_of("id-1");
            first.connections_with("id-1").front()->send(unsound);
            fixture.run_until([&] { return fixture.request_count("id-1") == 2; });
            for (auto const& upstream : fixture.upstreams)
            {
                auto const found = upstream->connections_with("id-1");
                if (upstream.get() != &first && !found.empty())
                {
                    found.front()->send(
                        is_second_sound ? answer_text(200, "id-1", "yes", seal_field) : unsound);
                }
            }
            fixture.run_until([&]
                              { return caller->received.find("\r\n\r\n") != std::string::npos; });
            CHECK(
                caller->received.starts_with(is_second_sound ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
        }
    }
}

// Guards against statements of a head that is no answer: leaving, limits, and not having run.
TEST_CASE("nothing of a head whose status is none is believed", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (std::string_view const path : {"/event/1", "/draft/1"})
        {
            INFO(status << ", " << path);
            forward_fixture fixture;
            auto const caller =
                fixture.call(path, "id-1", path == "/draft/1" ? draft_fields : std::string_view{});
            scripted_upstream& upstream = fixture.upstream_of("id-1");
            state::member_key const key = key_of(upstream, path == "/draft/1" ? "engine" : "plain");
            fixture.core.limits.answered(key, 7.0);
            fixture.core.refusal_limits.answered(key, 7.0);
            upstream.connections_with("id-1").front()->send(
                head_with(status, "id-1",
                          "Plumdale-Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 5\r\n"
                          "Content-Length: 0\r\n"));
            check_failed(fixture, *caller);
            CHECK(fixture.core.limits.known().limit_of(key) == 7.0);
            CHECK(fixture.core.refusal_limits.known().limit_of(key) == 7.0);
            CHECK(fixture.core.directory.find(key)->leaving_since == state::never);
            CHECK(fixture.core.gate.may_order(key, transport::boot_now()));
            CHECK(fixture.request_count("id-1") == 1);
        }
    }
}

// Guards against an upstream that keeps its calls though each of its answers is none.
TEST_CASE("statuses that are none count against their upstream", "[statuses]")
{
    constexpr int failures_to_ejection = 4;
    for (std::string_view const status : none_statuses)
    {
        INFO(status);
        forward_fixture fixture;
        scripted_upstream const& faulty = *fixture.upstreams[0];
        state::member_key const key = key_of(faulty, "plain");
        for (int call = 0; faulty.call_count() < failures_to_ejection; ++call)
        {
            CHECK(fixture.core.health.penalty(key, transport::boot_now()) == 0.0);
            std::string const id = "id-" + std::to_string(100 + call);
            auto const caller = fixture.call("/event/1", id);
            scripted_upstream& asked = fixture.upstream_of(id);
            asked.connections_with(id).back()->send(
                &asked == &faulty ? framed_answers(status, id).back().parts.front()
                                  : answer_text(200, id, "yes", seal_field));
            fixture.run_until([&]
                              { return caller->received.find("\r\n\r\n") != std::string::npos; });
        }
        CHECK(fixture.core.health.penalty(key, transport::boot_now()) == 1.0);
    }
}

// -- streams --------------------------------------------------------------------------------------

TEST_CASE("a draft whose answer's status is none fails at once", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (framed_answer const& each : framed_answers(status, "id-1"))
        {
            INFO(status << ", " << each.name);
            forward_fixture fixture;
            auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
            send_answer(fixture, *fixture.upstream_connection(id_field("id-1")), each);
            check_failed(fixture, *caller);
            CHECK(fixture.request_count(id_field("id-1")) == 1);
        }
    }
}

namespace
{

/// \brief Ends the draft `id-1` after an event and its process with it; returns the connection on
/// which it is resumed.
std::shared_ptr<scripted_connection> crash_and_resume(forward_fixture& fixture,
                                                      scripted_caller const& caller)
{
    scripted_upstream& source = fixture.upstream_of(id_field("id-1"));
    source.connections_with(id_field("id-1")).front()->send(stream_head("id-1") + event_chunk(1));
    fixture.run_until([&] { return caller.received.find("data: e1\n") != std::string::npos; });
    source.crash();
    return fixture.upstream_connection("Kv-From: ");
}

} // namespace

// Guards against a resumption whose unsound head ends the draft, or is followed by its events.
TEST_CASE("a resumption whose answer's status is none brings no event", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        INFO(status);
        forward_fixture fixture;
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        auto const resumed = crash_and_resume(fixture, *caller);
        resumed->send(head_with(status, "id-1", "Transfer-Encoding: chunked\r\n") + event_chunk(2) +
                      std::string{last_chunk});
        fixture.run_until([&] { return resumed->ended; });
        CHECK(caller->received.find("data: e2\n") == std::string::npos);
        CHECK_FALSE(caller->received.ends_with(last_chunk));
        CHECK(caller->received.find(std::string{status} + " Text") == std::string::npos);
    }
}

TEST_CASE("a resumption goes on after an interim answer", "[statuses]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    auto const resumed = crash_and_resume(fixture, *caller);
    resumed->send("HTTP/1.1 103 Early Hints\r\n\r\n" + stream_head("id-1") + event_chunk(2) +
                  std::string{last_chunk});
    fixture.run_until([&] { return caller->received.ends_with(last_chunk); });
    CHECK(caller->received.find("data: e2\n") != std::string::npos);
}

// -- peers ----------------------------------------------------------------------------------------

// Guards against a peer's head that is passed on, or whose word on the call is taken.
TEST_CASE("a call through a peer whose answer's status is none fails at once", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        for (std::string_view const origin :
             {protocol::upstream_answer, std::string_view{"peer_declined"}})
        {
            INFO(status << ", " << origin);
            forward_fixture fixture;
            scripted_upstream peer{fixture.context, "peer", "a"};
            coordination::fleet_update update;
            update.sender = state::id_from_name<state::node_id>("peer");
            update.incarnation_number = state::incarnation{1};
            update.sequence = 1;
            update.configuration = fixture.core.version();
            fixture.core.fleet.apply_update(update, peer.make_member("", 1).address, 0,
                                            transport::boot_now());
            dead_address const nowhere{lost_path::refused};
            cut_paths(fixture, fixture.core, nowhere);
            auto const caller = fixture.call("/event/1", "id-1");
            fixture.run_until([&] { return !peer.connections_with("POST ").empty(); });
            std::string fields{protocol::peer_answer_field};
            fields.append(": ").append(origin).append("\r\n");
            fields.append(protocol::peer_call_field).append(": id-1\r\nContent-Length: 8\r\n");
            peer.connections_with("POST ").front()->send(head_with(status, "id-1", fields) +
                                                         "yes, yes");
            check_failed(fixture, *caller);
        }
    }
}

// -- reports, orders and the store ----------------------------------------------------------------

// Guards against the statement of a head that is no answer to an order.
TEST_CASE("nothing of an answer to an order whose status is none is believed", "[statuses]")
{
    for (std::string_view const status : none_statuses)
    {
        INFO(status);
        forward_fixture fixture;
        scripted_upstream& engine = *fixture.upstreams.back();
        state::member_key const key = key_of(engine, "engine");
        std::optional<state::result<transport::fetch_answer>> answer;
        fixture.core.orders.send(key, {"POST", "/v1/kv-move", "{}"}, 10s,
                                 [&](auto const& arrived) { answer = arrived; });
        fixture.run_until([&] { return !engine.connections_with("kv-move").empty(); });
        engine.connections_with("kv-move").front()->send(
            head_with(status, {}, "Server-Leaving: 1\r\nContent-Length: 2\r\n") + "{}");
        fixture.run_until([&] { return answer.has_value(); });
        REQUIRE_FALSE(*answer);
        CHECK(answer->error().kind == state::error_kind::connection_failed);
        CHECK(fixture.core.directory.find(key)->leaving_since == state::never);
    }
}

// Guards against an order whose effect is proved by an interim answer, or by none.
TEST_CASE("an order is answered by what follows an interim answer", "[statuses]")
{
    forward_fixture fixture;
    scripted_upstream& engine = *fixture.upstreams.back();
    std::optional<state::result<transport::fetch_answer>> answer;
    fixture.core.orders.send(key_of(engine, "engine"), {"POST", "/v1/kv-move", "{}"}, 10s,
                             [&](auto const& arrived) { answer = arrived; });
    fixture.run_until([&] { return !engine.connections_with("kv-move").empty(); });
    auto const connection = engine.connections_with("kv-move").front();
    connection->send("HTTP/1.1 102 Processing\r\n\r\n");
    run_for(fixture, 20ms);
    CHECK_FALSE(answer);
    connection->send(answer_text(404, "", "{}"));
    fixture.run_until([&] { return answer.has_value(); });
    REQUIRE(*answer);
    CHECK(answer->value().status == 404);
}

// Guards against a VM that learns nothing from a store whose answers follow interim ones.
TEST_CASE("a VM reads a store that sends interim answers first", "[statuses][store_reader]")
{
    starting_vm vm{true};
    vm.reply = [](std::string_view request)
    {
        std::string const interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        return interim + (contains(request, "prefix=op")
                              ? operator_entries_page(
                                    R"(,{"key":"op/evacuate/east","value":"","revision":5})", 9)
                              : std::string{not_published});
    };
    vm.run(200ms);
    CHECK(vm.core.directory.evacuations().covers(state::id_from_name<state::zone_id>("east")));
}

// Guards against a page that is read though its head is no answer.
TEST_CASE("a VM takes nothing from a page whose status is none", "[statuses][store_reader]")
{
    for (std::string_view const status : none_statuses)
    {
        INFO(status);
        starting_vm vm{true};
        vm.reply = [status](std::string_view /*request*/)
        {
            std::string page =
                operator_entries_page(R"(,{"key":"op/evacuate/east","value":"","revision":5})", 9);
            return page.replace(page.find("200"), 3, status);
        };
        vm.run(150ms);
        CHECK_FALSE(
            vm.core.directory.evacuations().covers(state::id_from_name<state::zone_id>("east")));
    }
}
