#include "fake_sink.hpp"
#include "loop.hpp"

#include <plumdale/state/error_kind.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <transport/caller_session.hpp>

using namespace plumdale;
using namespace std::chrono_literals;
using tests::run_until;

namespace
{

/// \brief Serves callers on the test's event loop; a fake sink records their requests.
struct caller_fixture
{
    explicit caller_fixture(transport::session_limits limits = {})
        : context{sink, pages, limits, coordination::cached_reader{fleet}}
    {
        accept();
    }

    void accept()
    {
        listener.acceptor.async_accept(
            [this](boost::system::error_code error, transport::tcp::socket socket)
            {
                if (!error)
                {
                    transport::serve_caller(own_worker, context, std::move(socket));
                    accept();
                }
            });
    }

    [[nodiscard]] std::unique_ptr<tests::raw_peer> connect()
    {
        return std::make_unique<tests::raw_peer>(own_worker.context(), listener.where());
    }

    // Sends `bytes`, and returns what is received until the connection ends or `until` arrives.
    [[nodiscard]] std::string answer(std::string const& bytes, std::string const& until)
    {
        auto const peer = connect();
        peer->send(bytes);
        REQUIRE(run_until(
            own_worker.context(),
            [&] { return peer->ended() || peer->received().find(until) != std::string::npos; }));
        return peer->received();
    }

    [[nodiscard]] std::shared_ptr<transport::answer_sink> caller_sink(std::size_t index)
    {
        return own_worker.find(sink.requests.at(index).caller);
    }

    [[nodiscard]] bool wait_for_requests(std::size_t count)
    {
        return run_until(own_worker.context(), [&] { return sink.requests.size() == count; });
    }

    boost::asio::io_context loop{1};
    transport::worker own_worker{loop, 0, 1};
    tests::loopback listener{own_worker.context()};
    tests::fake_sink sink;
    coordination::published<coordination::fleet_snapshot> fleet{
        std::make_shared<coordination::fleet_snapshot const>()};
    transport::page_handler pages{
        [](transport::page_request const& request, transport::page_callback const& answer)
        {
            if (request.target == "/health")
            {
                answer({200, "text/plain", "ready\n"});
            }
            return request.target == "/health";
        }};
    transport::session_context context;
};

std::string post(std::string const& body, std::string const& headers = "",
                 std::string const& target = "/v1/completions")
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string const valid = post(R"({"model":"m","prompt":"p","stream":true})");

struct bad_input
{
    std::string name;
    std::string bytes;
    state::error_kind kind;
};

std::vector<bad_input> bad_inputs()
{
    using state::error_kind;
    std::string const deep = std::string(200, '[') + std::string(200, ']');
    return {
        {"no HTTP at all", "hello?\r\n\r\n", error_kind::invalid_request},
        {"bad version", "GET / HTTP/9.7\r\n\r\n", error_kind::invalid_request},
        {"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
         error_kind::invalid_request},
        {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
         error_kind::invalid_request},
        {"head too large", "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n",
         error_kind::request_too_large},
        {"body too large", "POST / HTTP/1.1\r\nContent-Length: 999999999\r\n\r\nx",
         error_kind::request_too_large},
        {"chunked body too large",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" +
             std::string(2'000'000, 'x'),
         error_kind::request_too_large},
        {"no JSON", post("milk"), error_kind::invalid_request},
        {"empty body", post(""), error_kind::invalid_request},
        {"JSON of another type", post("[1]"), error_kind::invalid_request},
        {"JSON too deep", post(R"({"model":"m","prompt":)" + deep + "}"),
         error_kind::invalid_request},
        {"no model", post(R"({"prompt":"p"})"), error_kind::invalid_request},
        {"model of another type", post(R"({"model":7,"prompt":"p"})"), error_kind::invalid_request},
        {"prompt of another type", post(R"({"model":"m","prompt":{}})"),
         error_kind::invalid_request},
        {"messages of another type", post(R"({"model":"m","messages":[1]})"),
         error_kind::invalid_request},
        {"stream of another type", post(R"({"model":"m","prompt":"p","stream":"yes"})"),
         error_kind::invalid_request},
        {"negative max_tokens", post(R"({"model":"m","prompt":"p","max_tokens":-4})"),
         error_kind::invalid_request},
        {"text that is no UTF-8", post("{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}"),
         error_kind::invalid_request},
        {"unknown path", post("{}", "", "/v2/else"), error_kind::invalid_request},
        {"bad attempt", post("{}", "Plumdale-Attempt: 0\r\n"), error_kind::invalid_request},
        {"bad kind", post("{}", "Plumdale-Kind: poem\r\n"), error_kind::invalid_request},
        {"bad deadline", post("{}", "Plumdale-Deadline-Ms: soon\r\n"), error_kind::invalid_request},
        {"identity that is none", post("{}", "Plumdale-Generation: g-1-2\r\n"),
         error_kind::unknown_generation},
        {"no key", "POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
         error_kind::unauthenticated},
    };
}

} // namespace

// Callers send malformed requests. Each is answered at once by its row of the error table; none is
// passed on to the shards, and the next caller is served normally.
TEST_CASE("each malformed request gets its row of the error table")
{
    caller_fixture vm;
    for (bad_input const& each : bad_inputs())
    {
        CAPTURE(each.name);
        state::error_answer const& row = state::answer_for(each.kind);
        std::string const received = vm.answer(each.bytes, "}}");
        CAPTURE(received);
        CHECK(received.rfind("HTTP/1.1 " + std::to_string(row.status) + ' ', 0) == 0);
        CHECK(received.find("\"kind\":\"" + std::string{row.name} + '"') != std::string::npos);
        CHECK(received.find("\"claim\":\"" + std::string{state::claim_name(row.claim)} + '"') !=
              std::string::npos);
    }
    CHECK(vm.sink.requests.empty());
    CHECK(vm.answer("GET /health HTTP/1.1\r\n\r\n", "ready\n").find("200 OK") != std::string::npos);
}

// Bytes of valid requests are changed, and requests are truncated. The process must go on and serve
// the next caller.
TEST_CASE("mutated requests never stop the service")
{
    caller_fixture vm;
    std::minstd_rand random{20261202};
    for (int round = 0; round < 400; ++round)
    {
        std::string bytes = valid;
        for (std::uint64_t changes = 1 + random() % 6; changes > 0; --changes)
        {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(round % 3 == 0 ? random() % bytes.size() : bytes.size());
        auto const peer = vm.connect();
        peer->send(bytes);
        vm.own_worker.context().restart();
        vm.own_worker.context().poll();
        peer->close();
    }
    CHECK(vm.answer("GET /health HTTP/1.1\r\n\r\n", "ready\n").find("200 OK") != std::string::npos);
}

// A caller never completes its head. Without a bound it would hold its connection indefinitely; the
// connection must be closed after the read timeout.
TEST_CASE("a connection whose head never ends is closed")
{
    transport::session_limits limits;
    limits.read_timeout = 50ms;
    caller_fixture vm{limits};
    auto const peer = vm.connect();
    peer->send("GET / HTTP/1.1\r\nX: ");
    REQUIRE(run_until(vm.own_worker.context(), [&] { return peer->ended(); }));
    CHECK(peer->received().empty());
}

TEST_CASE("an idle connection is closed")
{
    transport::session_limits limits;
    limits.keep_alive_timeout = 50ms;
    caller_fixture vm{limits};
    auto const peer = vm.connect();
    REQUIRE(run_until(vm.own_worker.context(), [&] { return peer->ended(); }));
}

TEST_CASE("a request sent before the answer to the last one is served next")
{
    caller_fixture vm;
    auto const peer = vm.connect();
    peer->send(valid + valid);
    REQUIRE(vm.wait_for_requests(1));
    vm.caller_sink(0)->deliver(coordination::send_head{});
    vm.caller_sink(0)->deliver(coordination::send_token{{}, {}, {}, 0, "one"});
    vm.caller_sink(0)->deliver(coordination::send_finished{{}, {}, 1, ""});
    REQUIRE(vm.wait_for_requests(2));
    vm.caller_sink(1)->deliver(
        coordination::send_refused{{}, state::error_kind::overloaded, 1500ms, {}, 0});
    REQUIRE(run_until(vm.own_worker.context(), [&]
                      { return peer->received().find("Retry-After: 2") != std::string::npos; }));
    CHECK(peer->received().find("[DONE]") < peer->received().find("503"));
}

TEST_CASE("a reservation is answered unchunked although its head is delivered first")
{
    caller_fixture vm;
    auto const peer = vm.connect();
    peer->send(post("", "", "/v1/generations"));
    REQUIRE(vm.wait_for_requests(1));
    state::generation_id const id{{7}, {8}, 9, {}};
    vm.caller_sink(0)->deliver(coordination::send_head{{}, id, {}});
    vm.caller_sink(0)->deliver(coordination::send_finished{{}, id, 0, ""});
    REQUIRE(run_until(vm.own_worker.context(),
                      [&] { return peer->received().find("}") != std::string::npos; }));
    CHECK(peer->received().find("{\"generation\":\"g-") != std::string::npos);
    CHECK(peer->received().find("Transfer-Encoding") == std::string::npos);
}

TEST_CASE("a caller that disconnects while it waits is reported as disconnected")
{
    caller_fixture vm;
    auto const peer = vm.connect();
    peer->send(valid);
    REQUIRE(vm.wait_for_requests(1));
    peer->close();
    REQUIRE(run_until(vm.own_worker.context(),
                      [&] { return vm.sink.has<coordination::caller_disconnected>(); }));
    CHECK(vm.caller_sink(0) == nullptr);
}

// A caller reads nothing of its stream. The upstream must be paused above the buffer limit, another
// caller's stream must go on, and the stalled connection must be closed in the end.
TEST_CASE("a caller that stops reading is blocked, then disconnected")
{
    transport::session_limits limits;
    limits.buffer = 4096;
    limits.stall_timeout = 200ms;
    caller_fixture vm{limits};
    transport::tcp::socket stalled{vm.own_worker.context()};
    stalled.connect(transport::to_tcp(vm.listener.where()));
    boost::asio::write(stalled, boost::asio::buffer(valid));
    REQUIRE(vm.wait_for_requests(1));
    auto const other = vm.connect();
    other->send(valid);
    REQUIRE(vm.wait_for_requests(2));
    vm.caller_sink(0)->deliver(coordination::send_head{});
    std::string const text(65'536, 't');
    // Far more than the system itself buffers for a connection; on a slow machine the stalled
    // caller may be disconnected before all of it is delivered.
    for (std::uint32_t i = 0; i < 500; ++i)
    {
        if (auto const caller_sink = vm.caller_sink(0))
        {
            caller_sink->deliver(coordination::send_token{{}, {}, {}, i, text});
        }
        vm.own_worker.context().restart();
        vm.own_worker.context().poll();
    }
    CHECK(vm.sink.has<coordination::caller_blocked>());
    vm.caller_sink(1)->deliver(coordination::send_head{});
    vm.caller_sink(1)->deliver(coordination::send_finished{{}, {}, 0, ""});
    REQUIRE(run_until(vm.own_worker.context(),
                      [&] { return other->received().find("[DONE]") != std::string::npos; }));
    REQUIRE(run_until(vm.own_worker.context(),
                      [&] { return vm.sink.has<coordination::caller_disconnected>(); }));
}
