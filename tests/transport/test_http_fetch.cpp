#include "held_port.hpp"
#include "loop.hpp"

#include <plumdale/protocol/answer_status.hpp>

#include <catch2/catch.hpp>

#include <transport/http_fetch.hpp>
#include <vector>

using namespace plumdale;
using tests::held_port;
using tests::run_until;
using transport::fetch_answer;
using transport::fetch_request;

namespace
{

std::string const ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// \brief Accepts connections and keeps them; the test answers by hand.
struct fake_engine
{
    fake_engine()
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
                    connections.push_back(std::make_unique<tests::raw_peer>(std::move(socket)));
                    accept();
                }
            });
    }

    /// \brief Sends a read and answers it on the connection of that number.
    void read_and_answer(std::size_t connection)
    {
        std::size_t const before = answers.size();
        read();
        REQUIRE(run_until(context, [&] { return request_arrived(connection); }));
        connections[connection]->send(ok_response);
        REQUIRE(run_until(context, [&] { return answers.size() > before; }));
    }

    void read(std::chrono::milliseconds timeout = std::chrono::seconds{20})
    {
        send({listener.where(), "GET", "/v1/load", {}, {}, timeout});
    }

    void send(fetch_request request)
    {
        ++sent;
        fetcher.fetch(std::move(request), [this](state::result<fetch_answer> answer)
                      { answers.push_back(std::move(answer)); });
    }

    /// \brief Whether the newest request has arrived on this connection.
    [[nodiscard]] bool request_arrived(std::size_t connection) const
    {
        std::size_t requests = 0;
        for (auto const& each : connections)
        {
            for (std::size_t at = 0;
                 (at = each->received().find("\r\n\r\n", at)) != std::string::npos; at += 4)
            {
                ++requests;
            }
        }
        return connections.size() > connection && requests == sent;
    }

    boost::asio::io_context context;
    tests::loopback listener{context};
    transport::fetcher fetcher{context};
    std::vector<std::unique_ptr<tests::raw_peer>> connections;
    std::vector<state::result<fetch_answer>> answers;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("reads from one address share a connection")
{
    fake_engine engine;
    engine.read_and_answer(0);
    engine.read_and_answer(0);
    engine.read_and_answer(0);
    CHECK(engine.connections.size() == 1);
    CHECK(engine.answers.back().value().body == "ok");
}

TEST_CASE("an order never goes over a kept connection")
{
    fake_engine engine;
    engine.read_and_answer(0);
    engine.send(
        {engine.listener.where(), "POST", "/v1/orders", "{}", {}, std::chrono::seconds{20}});
    CHECK(run_until(engine.context, [&] { return engine.request_arrived(1); }));
}

// An engine closes the idle connection. Unless the next read is sent once more on a new connection,
// it fails, and a healthy engine is taken for failed.
TEST_CASE("a read that fails on a closed connection is sent again")
{
    fake_engine engine;
    engine.read_and_answer(0);
    engine.connections[0]->close();
    engine.read();
    REQUIRE(run_until(engine.context, [&] { return engine.connections.size() == 2; }));
    REQUIRE(run_until(engine.context, [&] { return !engine.connections[1]->received().empty(); }));
    engine.connections[1]->send(ok_response);
    REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == 2; }));
    CHECK(engine.answers.back().has_value());
}

// The idle connection was silently lost: no answer arrives, and the socket reports no error. After
// its timeout the read must be sent again on a new connection, which works.
TEST_CASE("a read that times out on a silent connection is sent again")
{
    fake_engine engine;
    engine.read_and_answer(0);
    engine.read(std::chrono::milliseconds{300});
    REQUIRE(run_until(engine.context, [&] { return engine.connections.size() == 2; }));
    REQUIRE(run_until(engine.context, [&] { return !engine.connections[1]->received().empty(); }));
    engine.connections[1]->send(ok_response);
    REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == 2; }));
    CHECK(engine.answers.back().has_value());
}

TEST_CASE("a read from an address that refuses connections fails once")
{
    fake_engine engine;
    held_port const unserved;
    engine.send({unserved.where(), "GET", "/v1/load", {}, {}, std::chrono::seconds{20}});
    REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == 1; }));
    CHECK(engine.answers[0].error().kind == state::error_kind::connection_refused);
}

// A page of some 200 KB arrives slowly while hundreds of VMs read from one store. Guards against
// giving it up although it is arriving: all that was sent of it would have been for nothing.
TEST_CASE("an answer that keeps arriving is not given up")
{
    using namespace std::chrono_literals;
    constexpr auto timeout = 200ms;
    for (bool const extends : {true, false})
    {
        fake_engine engine;
        fetch_request request{engine.listener.where(), "GET", "/v1/list", {}, {}, timeout};
        request.extends_on_progress = extends;
        engine.send(request);
        REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(0); }));
        engine.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
        for (int piece = 0; piece < 4 && engine.answers.empty(); ++piece)
        {
            auto const end = std::chrono::steady_clock::now() + 100ms;
            REQUIRE(
                run_until(engine.context, [&] { return std::chrono::steady_clock::now() >= end; }));
            engine.connections[0]->send("ok");
        }
        REQUIRE(run_until(engine.context, [&] { return !engine.answers.empty(); }));
        CHECK(engine.answers.front().has_value() == extends);
    }
}

TEST_CASE("an answer that stops arriving fails")
{
    using namespace std::chrono_literals;
    fake_engine engine;
    fetch_request request{engine.listener.where(), "GET", "/v1/list", {}, {}, 100ms};
    request.extends_on_progress = true;
    engine.send(request);
    REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(0); }));
    engine.connections[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nok");
    REQUIRE(run_until(engine.context, [&] { return !engine.answers.empty(); }));
    CHECK_FALSE(engine.answers.front().has_value());
}

// The store's pages, upstreams' reports and answers to orders are all read this way. Guards against
// a list that looks empty, after which all upstreams would count as removed.
TEST_CASE("an answer that ends inside its head is an error, on new connections and kept ones")
{
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Type: x\r\nContent-Length: 0\r\n\r\n";
    for (bool const is_kept : {false, true})
    {
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes)
        {
            INFO(bytes << " bytes, kept " << is_kept);
            fake_engine engine;
            std::size_t connection = 0;
            if (is_kept)
            {
                engine.read_and_answer(0);
            }
            engine.read();
            REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(0); }));
            engine.connections[connection]->send(head.substr(0, bytes));
            engine.connections[connection]->close();
            if (is_kept)
            {
                // A read that fails on a kept connection is sent once more on a new one.
                ++engine.sent;
                ++connection;
                REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(1); }));
                engine.connections[connection]->send(head.substr(0, bytes));
                engine.connections[connection]->close();
            }
            std::size_t const expected = is_kept ? 2 : 1;
            REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == expected; }));
            CHECK_FALSE(engine.answers.back());
        }
    }
}

TEST_CASE("an answer that falls silent inside its head is an error")
{
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Type: x\r\nContent-Length: 0\r\n\r\n";
    fake_engine engine;
    for (std::size_t i = 0; i < head.size(); ++i)
    {
        engine.read(std::chrono::milliseconds{300});
        REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(i); }));
        engine.connections[i]->send(head.substr(0, i));
    }
    REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == head.size(); }));
    for (auto const& answer : engine.answers)
    {
        CHECK_FALSE(answer);
    }
}

namespace
{

/// \brief Reads once from an engine that sends `bytes`, and nothing more.
state::result<fetch_answer> read_from(std::string const& bytes, bool extends_on_progress)
{
    fake_engine engine;
    // Not a read, which would be sent again.
    fetch_request request{engine.listener.where(), "POST", "/v1/orders", "{}", {}};
    request.timeout = std::chrono::seconds{20};
    request.extends_on_progress = extends_on_progress;
    engine.send(request);
    REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(0); }));
    engine.connections[0]->send(bytes);
    auto const begin = std::chrono::steady_clock::now();
    REQUIRE(run_until(engine.context, [&] { return !engine.answers.empty(); }));
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{5});
    return engine.answers.front();
}

} // namespace

// Guards against a status of no class that is taken for a report, or for an order that was refused.
TEST_CASE("an answer whose status is none is a failure, and not a refused connection")
{
    for (bool const extends : {false, true})
    {
        for (std::string const status : {"000", "001", "099", "101", "600", "999", "20", "2000"})
        {
            for (std::string const fields : {"Content-Length: 2\r\n", "Content-Length: 9\r\n", "",
                                             "Transfer-Encoding: chunked\r\n"})
            {
                for (std::string const before : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
                {
                    INFO(status << ", " << fields << ", before: " << before);
                    std::string const head = "HTTP/1.1 " + status + " Text\r\n" + fields + "\r\n";
                    auto const answer = read_from(before + head + "ok" + ok_response, extends);
                    REQUIRE_FALSE(answer);
                    CHECK(answer.error().kind == state::error_kind::connection_failed);
                }
            }
        }
    }
}

// Guards against an interim answer that is taken for the answer: a page that looks like a failure.
TEST_CASE("an answer follows interim answers, up to a bound")
{
    for (bool const extends : {false, true})
    {
        for (std::string const status : {"100", "102", "103", "199"})
        {
            INFO(status << ", " << extends);
            std::string const interim = "HTTP/1.1 " + status + " Text\r\nName: value\r\n\r\n";
            std::string text;
            for (std::uint32_t i = 0; i < protocol::max_interim_answers; ++i)
            {
                text += interim;
            }
            auto const answer = read_from(text + ok_response, extends);
            REQUIRE(answer);
            CHECK(answer.value().status == 200);
            CHECK(answer.value().body == "ok");
            CHECK(answer.value().fields.size() == 1);
            CHECK_FALSE(read_from(text + interim + ok_response, extends));
        }
    }
}

// Guards against a kept connection on which an interim answer is read as the answer to come.
TEST_CASE("reads share a connection also where interim answers come first")
{
    fake_engine engine;
    for (std::size_t read = 1; read <= 3; ++read)
    {
        engine.read();
        REQUIRE(run_until(engine.context, [&] { return engine.request_arrived(0); }));
        engine.connections[0]->send("HTTP/1.1 103 Early Hints\r\n\r\n" + ok_response);
        REQUIRE(run_until(engine.context, [&] { return engine.answers.size() == read; }));
        REQUIRE(engine.answers.back());
        CHECK(engine.answers.back().value().body == "ok");
    }
    CHECK(engine.connections.size() == 1);
}
