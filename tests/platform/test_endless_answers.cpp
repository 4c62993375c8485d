#include "forward_fixture.hpp"
#include "peer_vm.hpp"
#include "transport/boot_clock.hpp"
#include "transport/held_answer.hpp"
#include "transport/store_reader.hpp"
#include "transport/upstream_orders.hpp"

#include <plumdale/protocol/peer_call.hpp>

#include <catch2/catch.hpp>

#include <cstddef>
#include <malloc.h>
#include <memory>
#include <optional>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// Upstreams, peers and the store may send bytes that are no answer until their reader closes.

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view signature_field = "Plumdale-Response-Seal: s\r\n";
constexpr std::size_t piece_size = 16'384;
/// \brief Bytes that sockets of the machine may hold beside those that were read.
constexpr std::size_t socket_buffers = 8UL * 1024 * 1024;
/// \brief Ends a test whose reader neither reads nor closes; the bytes sent show whether it closes
/// at once, also where a sanitizer makes reading slow.
constexpr auto longest_test = 10s;

std::string signed_head(std::string_view id, std::string_view framing)
{
    return "HTTP/1.1 200 OK\r\nPlumdale-Request-Id: " + std::string{id} + "\r\n" +
           std::string{signature_field} + std::string{framing} + "\r\n";
}

/// \brief Sends a head, and the piece again and again until the reader closes the connection.
/// Returns the number of bytes that were sent; fails if they are more than `bound`.
std::size_t send_without_end(forward_fixture& fixture, scripted_connection& connection,
                             std::string const& head, std::string const& piece, std::size_t bound)
{
    auto const begin = std::chrono::steady_clock::now();
    std::size_t sent = head.size();
    std::size_t most_held = 0;
    connection.send(head);
    while (!connection.ended)
    {
        REQUIRE(sent < bound + socket_buffers);
        REQUIRE(std::chrono::steady_clock::now() < begin + longest_test);
        connection.send(piece);
        sent += piece.size();
        fixture.context.restart();
        fixture.context.poll();
        most_held = std::max(most_held, fixture.core.answers_held.held());
    }
    CHECK(most_held <= transport::answer_memory::max_held);
    CHECK(fixture.core.answers_held.held() == 0);
    return sent;
}

/// \brief What an upstream sends instead of an answer.
struct endless_answer
{
    std::string name;
    std::string head;
    std::string piece;
    std::size_t bound;
};

std::vector<endless_answer> endless_answers()
{
    std::string const zeros(piece_size, '0');
    std::size_t const head_bound = transport::upstream_exchange::head_limit;
    std::size_t const body_bound = transport::answer_memory::max_answer;
    return {
        {"a first line", "HTTP/1.1 200 ", zeros, head_bound},
        {"a field", "HTTP/1.1 200 OK\r\nName: ", zeros, head_bound},
        {"fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", head_bound},
        {"no HTTP", "", std::string(piece_size, '\x01'), head_bound},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", head_bound},
        {"a body", signed_head("id-1", "Connection: close\r\n"), zeros, body_bound},
        {"chunks", signed_head("id-1", "Transfer-Encoding: chunked\r\n"),
         "4000\r\n" + zeros + "\r\n", body_bound},
        {"a chunk's extension", signed_head("id-1", "Transfer-Encoding: chunked\r\n") + "4;", zeros,
         head_bound},
        {"trailers", signed_head("id-1", "Transfer-Encoding: chunked\r\n") + "0\r\n",
         "Name: value\r\n", head_bound},
    };
}

/// \brief What any path may get instead of a head, or between chunks and behind the last one.
std::vector<endless_answer> endless_parts(std::string const& chunked_head)
{
    std::string const zeros(piece_size, '0');
    std::string fields;
    std::string interim;
    while (fields.size() < piece_size)
    {
        fields += "Name: value\r\n";
        interim += "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n";
    }
    std::size_t const bound = transport::upstream_exchange::head_limit;
    return {{"a status line", "HTTP/1.1 200 ", zeros, bound},
            {"a status line of an interim answer", "HTTP/1.1 100 ", zeros, bound},
            {"a field", "HTTP/1.1 200 OK\r\nName: ", zeros, bound},
            {"a field's name", "HTTP/1.1 200 OK\r\n", zeros, bound},
            {"fields", "HTTP/1.1 200 OK\r\n", fields, bound},
            {"no HTTP", "", std::string(piece_size, '\x01'), bound},
            {"interim answers", "", interim, bound},
            {"an interim answer's field", "HTTP/1.1 103 Early Hints\r\nName: ", zeros, bound},
            {"a chunk's size", chunked_head, zeros, bound},
            {"a chunk's extension", chunked_head + "4;", zeros, bound},
            {"a chunk's quoted extension", chunked_head + "4;a=\"", zeros, bound},
            {"trailers", chunked_head + "0\r\n", fields, bound},
            {"a trailer", chunked_head + "0\r\nName: ", zeros, bound}};
}

} // namespace

// -- plain calls ----------------------------------------------------------------------------------

// Guards against a VM whose memory fills with an answer that never ends.
TEST_CASE("a plain call ends at once when its answer is endless", "[endless]")
{
    for (endless_answer const& each : endless_answers())
    {
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/event/1", "id-1");
        auto const connection = fixture.upstream_connection("id-1");
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
        CHECK(caller->received.find("may_have_run") != std::string::npos);
        CHECK(fixture.request_count("id-1") == 1);
    }
}

// Guards against callers of idempotent calls that are failed for one upstream's sake.
TEST_CASE("an idempotent call with an endless answer is served elsewhere", "[endless]")
{
    for (endless_answer const& each : endless_answers())
    {
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/fetch/1", "id-1");
        auto const connection = fixture.upstream_connection("id-1");
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return fixture.request_count("id-1") == 2; });
        for (auto const& upstream : fixture.upstreams)
        {
            for (auto const& other : upstream->connections_with("id-1"))
            {
                other->send(answer_text(200, "id-1", "yes", signature_field));
            }
        }
        fixture.run_until([&] { return caller->received.ends_with("yes"); });
    }
}

// Guards against an endless answer that costs answers of other upstreams.
TEST_CASE("small answers are held beside ones without an end", "[endless]")
{
    transport::answer_memory memory;
    memory.add(transport::answer_memory::max_held);
    transport::held_answer small{memory};
    CHECK(small.append(std::string(transport::answer_memory::small_answer, 'x')));
    CHECK_FALSE(small.append("x"));
}

// -- streams --------------------------------------------------------------------------------------

// Guards against a draft that waits for the end of an event that never ends.
TEST_CASE("a draft whose upstream sends an endless event resumes from its backup", "[endless]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    auto const connection = fixture.upstream_connection("Request-Id: id-1");
    connection->send(stream_head("id-1") + event_chunk(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    fixture.upstream_of("Request-Id: id-1").stop_listening();
    send_without_end(fixture, *connection, "", "4000\r\n" + std::string(piece_size, 'x') + "\r\n",
                     512UL * 1024);
    auto const resumed = fixture.upstream_connection("Kv-From: ");
    resumed->send(stream_head("id-1") + event_chunk(2) + "0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    CHECK(caller->received.find("xxxx") == std::string::npos);
}

// Guards against a draft that is held by a head or a failure without an end.
TEST_CASE("a draft without an event ends at once when its answer is endless", "[endless]")
{
    std::string const zeros(piece_size, '0');
    std::vector<endless_answer> const answers{
        {"a head", "HTTP/1.1 200 ", zeros, transport::upstream_exchange::head_limit},
        {"a failure", "HTTP/1.1 500 No\r\n\r\n", zeros, transport::answer_memory::max_answer},
        {"an event", signed_head("id-1", "Connection: close\r\n"), zeros, 512UL * 1024},
    };
    for (endless_answer const& each : answers)
    {
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        auto const connection = fixture.upstream_connection("Request-Id: id-1");
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
        CHECK(fixture.request_count("Request-Id: id-1") == 1);
    }
}

// Guards against a draft that waits for a head, or a chunk's line, without an end.
TEST_CASE("a draft ends at once at an endless head before its first event", "[endless]")
{
    for (endless_answer const& each : endless_parts(stream_head("id-1")))
    {
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        auto const connection = fixture.upstream_connection("Request-Id: id-1");
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    }
}

// Guards against a draft that is held by a chunk's line or by trailers without an end.
TEST_CASE("a draft with events resumes after a chunk without an end", "[endless]")
{
    std::string const head = stream_head("id-1");
    for (endless_answer const& each : endless_parts(head))
    {
        if (!each.head.starts_with(head))
        {
            continue;
        }
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        auto const connection = fixture.upstream_connection("Request-Id: id-1");
        connection->send(head + event_chunk(1));
        fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
        fixture.upstream_of("Request-Id: id-1").stop_listening();
        send_without_end(fixture, *connection, each.head.substr(head.size()), each.piece,
                         each.bound);
        auto const resumed = fixture.upstream_connection("Kv-From: ");
        resumed->send(stream_head("id-1") + event_chunk(2) + "0\r\n\r\n");
        fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
        CHECK(caller->received.find("0000") == std::string::npos);
    }
}

// Guards against a resumption that is held by a head without an end.
TEST_CASE("a resumption ends at once at an endless head", "[endless]")
{
    for (endless_answer const& each : endless_parts(stream_head("id-1")))
    {
        INFO(each.name);
        forward_fixture fixture;
        auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
        scripted_upstream& source = fixture.upstream_of("Request-Id: id-1");
        source.connections_with("Request-Id: id-1")
            .front()
            ->send(stream_head("id-1") + event_chunk(1));
        fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
        source.crash();
        auto const resumed = fixture.upstream_connection("Kv-From: ");
        send_without_end(fixture, *resumed, each.head, each.piece, each.bound);
        CHECK(caller->received.find("0000") == std::string::npos);
        CHECK_FALSE(caller->received.ends_with("0\r\n\r\n"));
    }
}

// -- peers ----------------------------------------------------------------------------------------

// Guards against a VM whose memory fills with what a peer sends for a call.
TEST_CASE("a call through a peer ends at once when the peer's answer is endless", "[endless]")
{
    std::string const zeros(piece_size, '0');
    std::vector<endless_answer> const answers{
        {"a head", "HTTP/1.1 200 ", zeros, transport::upstream_exchange::head_limit},
        {"a body",
         "HTTP/1.1 200 OK\r\n" + std::string{protocol::peer_answer_field} + ": " +
             std::string{protocol::upstream_answer} + "\r\n\r\n",
         zeros, transport::answer_memory::max_answer},
    };
    for (endless_answer const& each : answers)
    {
        INFO(each.name);
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
        auto const connection = peer.connections_with("POST ").front();
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    }
}

// Guards against a VM that waits for a peer's head, or a chunk's line, without an end.
TEST_CASE("a call through a peer ends at once at an endless head", "[endless]")
{
    std::string const head = "HTTP/1.1 200 OK\r\n" + std::string{protocol::peer_answer_field} +
                             ": " + std::string{protocol::upstream_answer} +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (endless_answer const& each : endless_parts(head))
    {
        INFO(each.name);
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
        auto const connection = peer.connections_with("POST ").front();
        send_without_end(fixture, *connection, each.head, each.piece, each.bound);
        fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
        CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    }
}

// -- reports and the store ------------------------------------------------------------------------

namespace
{

/// \brief Sends an endless answer to the next request at `server`; returns the bytes sent.
std::size_t answer_without_end(forward_fixture& fixture, scripted_upstream& server,
                               std::string_view request, std::string const& head,
                               std::string const& piece, std::size_t bound)
{
    fixture.run_until([&] { return !server.connections_with(request).empty(); });
    auto const connection = server.connections_with(request).back();
    return send_without_end(fixture, *connection, head, piece, bound);
}

} // namespace

// Guards against orders and reports of an upstream that fill a VM's memory.
TEST_CASE("an order ends at once when its answer is endless", "[endless]")
{
    std::string const zeros(piece_size, '0');
    for (std::string const head : {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;"})
    {
        INFO(head);
        forward_fixture fixture;
        std::optional<state::result<transport::fetch_answer>> answer;
        scripted_upstream& engine = *fixture.upstreams.back();
        fixture.core.orders.send(state::key_of(engine.make_member("engine", 1)),
                                 {"GET", "/v1/report", ""}, 10s,
                                 [&](auto const& arrived) { answer = arrived; });
        answer_without_end(fixture, engine, "/v1/report", head, zeros,
                           transport::upstream_orders::max_answer_bytes);
        fixture.run_until([&] { return answer.has_value(); });
        CHECK_FALSE(answer->has_value());
    }
}

// Guards against a store that fills a VM's memory, or that is waited for as long as it sends.
TEST_CASE("a read of the store ends at once when its answer is endless", "[endless]")
{
    std::string const zeros(piece_size, '0');
    for (std::string const head : {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;"})
    {
        INFO(head);
        forward_fixture fixture;
        scripted_upstream store{fixture.context, "store", "a"};
        transport::fetcher fetcher{fixture.context};
        std::optional<state::result<transport::fetch_answer>> answer;
        transport::fetch_request request;
        request.address = store.make_member("", 1).address;
        request.target = "/v1/kv-range";
        request.extends_on_progress = true;
        fetcher.fetch(request, [&](auto const& arrived) { answer = arrived; });
        answer_without_end(fixture, store, "/v1/kv-range", head, zeros, request.max_answer_bytes);
        fixture.run_until([&] { return answer.has_value(); });
        CHECK_FALSE(answer->has_value());
    }
}

// Guards against a store that sends a byte now and then, and is never given up for a peer.
TEST_CASE("a read of the store ends though bytes keep arriving", "[endless]")
{
    forward_fixture fixture;
    scripted_upstream store{fixture.context, "store", "a"};
    transport::fetcher fetcher{fixture.context};
    std::optional<state::result<transport::fetch_answer>> answer;
    transport::fetch_request request;
    request.address = store.make_member("", 1).address;
    request.target = "/v1/kv-range";
    request.extends_on_progress = true;
    request.timeout = 50ms;
    fetcher.fetch(request, [&](auto const& arrived) { answer = arrived; });
    fixture.run_until([&] { return !store.connections_with("/v1/kv-range").empty(); });
    auto const connection = store.connections_with("/v1/kv-range").front();
    connection->send("HTTP/1.1 200 OK\r\n\r\n");
    fixture.run_until(
        [&]
        {
            connection->send("x");
            return answer.has_value();
        });
    CHECK_FALSE(answer->has_value());
}

// Guards against a head, a chunk's line or trailers that fill the memory of orders and reads.
TEST_CASE("an order and a read of the store end at once at an endless head", "[endless]")
{
    for (endless_answer const& each :
         endless_parts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
    {
        for (bool const is_order : {true, false})
        {
            INFO(each.name << ", order " << is_order);
            forward_fixture fixture;
            scripted_upstream& engine = *fixture.upstreams.back();
            transport::fetcher fetcher{fixture.context};
            std::optional<state::result<transport::fetch_answer>> answer;
            auto const on_answer = [&](auto const& arrived)
            {
                answer = arrived;
            };
            transport::fetch_request request;
            request.address = engine.make_member("engine", 1).address;
            request.target = "/v1/report";
            request.extends_on_progress = true;
            is_order ? fixture.core.orders.send(state::key_of(engine.make_member("engine", 1)),
                                                {"GET", "/v1/report", ""}, 10s, on_answer)
                     : fetcher.fetch(request, on_answer);
            answer_without_end(fixture, engine, "/v1/report", each.head, each.piece, each.bound);
            fixture.run_until([&] { return answer.has_value(); });
            CHECK_FALSE(answer->has_value());
        }
    }
}

// -- many at once ---------------------------------------------------------------------------------

namespace
{

/// \brief Returns the bytes that are allocated now.
std::size_t allocated_bytes()
{
    struct mallinfo2 const info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// \brief Returns what a VM holds for each of many calls whose upstreams sent `bytes` so far.
std::size_t held_per_call(std::string const& bytes)
{
    constexpr std::size_t calls = 100;
    forward_fixture fixture;
    std::vector<std::shared_ptr<scripted_caller>> callers;
    std::vector<std::shared_ptr<scripted_connection>> connections;
    for (std::size_t i = 0; i < calls; ++i)
    {
        std::string const id = "id-" + std::to_string(1'000 + i);
        callers.push_back(fixture.call("/event/1", id));
        connections.push_back(fixture.upstream_connection(id));
    }
    std::size_t const before = allocated_bytes();
    for (std::size_t i = 0; i < calls; ++i)
    {
        std::string own = bytes;
        std::string const id = "id-" + std::to_string(1'000 + i);
        if (std::size_t const at = own.find("id-1\r"); at != std::string::npos)
        {
            own.replace(at, 4, id);
        }
        connections[i]->send(own);
    }
    auto const end = std::chrono::steady_clock::now() + 200ms;
    fixture.run_until([end] { return std::chrono::steady_clock::now() > end; });
    std::size_t const after = allocated_bytes();
    return after > before ? (after - before) / calls : 0;
}

} // namespace

// Guards against heads of many upstreams that fill a VM's memory together.
TEST_CASE("heads of many upstreams together are bounded", "[endless]")
{
    // What five hundred calls hold so is half of a VM's memory.
    constexpr std::size_t most_per_call = 112UL * 1024;
    std::size_t const head_bytes = transport::upstream_exchange::head_limit;
    std::string const begin = "HTTP/1.1 200 OK\r\nPlumdale-Request-Id: id-1\r\n";
    std::string const end = "Content-Length: 9\r\n\r\n";
    for (std::string const& field :
         {std::string{"a:\r\n"}, "Name: " + std::string(66, '0') + "\r\n",
          "Name: " + std::string(head_bytes - 100, '0') + "\r\n"})
    {
        std::string head = begin;
        while (head.size() + field.size() + end.size() < head_bytes)
        {
            head += field;
        }
        for (std::string const& bytes : {head, head + end})
        {
            std::size_t const held = held_per_call(bytes);
            INFO(bytes.size() << " bytes in fields of " << field.size() << ", held " << held);
            CHECK(held < most_per_call);
        }
    }
}

// Guards against heads of many answers to orders that fill a VM's memory together.
TEST_CASE("heads of many answers to orders together are bounded", "[endless]")
{
    constexpr std::size_t orders = 100;
    constexpr std::size_t most_per_order = 256UL * 1024;
    // Beast's bound of a head.
    constexpr std::size_t head_bytes = 8'192;
    forward_fixture fixture;
    scripted_upstream& engine = *fixture.upstreams.back();
    for (std::size_t i = 0; i < orders; ++i)
    {
        fixture.core.orders.send(state::key_of(engine.make_member("engine", 1)),
                                 {"POST", "/v1/kv-move", "{}"}, 10s, [](auto const&) {});
    }
    fixture.run_until([&] { return engine.connections_with("kv-move").size() == orders; });
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n";
    while (head.size() + 6 < head_bytes)
    {
        head += "a:\r\n";
    }
    std::size_t const before = allocated_bytes();
    for (auto const& each : engine.connections_with("kv-move"))
    {
        each->send(head + "\r\n");
    }
    auto const end = std::chrono::steady_clock::now() + 200ms;
    fixture.run_until([end] { return std::chrono::steady_clock::now() > end; });
    std::size_t const after = allocated_bytes();
    std::size_t const held = after > before ? (after - before) / orders : 0;
    INFO(held << " held per order");
    CHECK(held < most_per_order);
}

// Guards against a bound that sound heads reach.
TEST_CASE("an answer with many fields is passed on", "[endless]")
{
    constexpr int fields = 200;
    std::string text{signature_field};
    for (int i = 0; i < fields; ++i)
    {
        text += "Name-" + std::to_string(i) + ": value\r\n";
    }
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-1");
    fixture.upstream_connection("id-1")->send(answer_text(200, "id-1", "yes", text));
    fixture.run_until([&] { return caller->received.ends_with("yes"); });
    CHECK(caller->received.starts_with("HTTP/1.1 200 "));
    CHECK(caller->received.find("Name-199: value") != std::string::npos);
}
