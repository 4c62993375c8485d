#include "loop.hpp"

#include <plumdale/protocol/answer_status.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <sstream>
#include <transport/engine_stream.hpp>

using namespace plumdale;
using coordination::upstream_failed;
using coordination::upstream_failure;
using coordination::upstream_finished;
using coordination::upstream_token;
using tests::run_until;

namespace
{

state::generation_id const id{{7}, {8}, 9, {}};

std::string chunk(std::string const& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string token_line(std::uint32_t index, std::string const& text)
{
    return "data: {\"generation\":\"" + protocol::to_text(id) +
           "\",\"index\":" + std::to_string(index) + ",\"text\":\"" + text + "\"}\n\n";
}

std::string done_line(std::uint32_t count)
{
    return "data: {\"generation\":\"" + protocol::to_text(id) +
           "\",\"done\":true,\"count\":" + std::to_string(count) + "}\n\n";
}

std::string const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// \brief An upstream that answers a connection with given bytes, and the events that result.
struct exchange
{
    explicit exchange(std::string bytes, coordination::open_stream wanted = {},
                      std::shared_ptr<transport::answer_memory> const& held =
                          std::make_shared<transport::answer_memory>())
    {
        listener.acceptor.async_accept(
            [this, answer = std::move(bytes)](boost::system::error_code,
                                              transport::tcp::socket socket)
            {
                upstream = std::make_unique<tests::raw_peer>(std::move(socket));
                upstream->send(answer);
            });
        wanted.address = listener.where();
        wanted.generation = id;
        wanted.body = std::make_shared<std::string const>("prompt");
        stream =
            transport::open_engine_stream(context, wanted, "m", held,
                                          [this](coordination::request_event event)
                                          {
                                              ended =
                                                  std::holds_alternative<upstream_failed>(event) ||
                                                  std::holds_alternative<upstream_finished>(event);
                                              events.push_back(std::move(event));
                                          });
    }

    [[nodiscard]] bool run()
    {
        return run_until(context, [&] { return ended; });
    }

    // Returns how the exchange failed; none when it finished.
    [[nodiscard]] std::optional<upstream_failure> failure()
    {
        REQUIRE(run());
        auto const* const failed = std::get_if<upstream_failed>(&events.back());
        return failed == nullptr ? std::nullopt : std::optional{failed->cause};
    }

    [[nodiscard]] std::size_t tokens() const
    {
        std::size_t count = 0;
        for (auto const& event : events)
        {
            count += std::holds_alternative<upstream_token>(event) ? 1 : 0;
        }
        return count;
    }

    boost::asio::io_context context;
    tests::loopback listener{context};
    std::unique_ptr<tests::raw_peer> upstream;
    std::vector<coordination::request_event> events;
    bool ended = false;
    std::shared_ptr<transport::upstream_stream> stream;
};

struct bad_answer
{
    std::string name;
    std::string bytes;
    upstream_failure cause;
};

} // namespace

TEST_CASE("tokens of an engine arrive as it sent them")
{
    exchange whole{head + chunk(token_line(0, "a") + ": beat\n" + token_line(1, "b")) +
                   chunk(done_line(2))};
    CHECK_FALSE(whole.failure());
    CHECK(whole.tokens() == 2);
    CHECK(std::get<upstream_finished>(whole.events.back()).count == 2);
}

// An engine violates its protocol. The exchange must fail with the cause that shows whether the
// work may have run; the process and the other exchanges go on.
TEST_CASE("an engine's malformed answers fail the exchange")
{
    std::vector<bad_answer> const answers{
        {"no HTTP", "garbage\r\n\r\n", upstream_failure::broken},
        {"an error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", upstream_failure::invalid},
        {"a refusal", "HTTP/1.1 409 C\r\nContent-Length: 0\r\n\r\n", upstream_failure::refused},
        {"no JSON", head + chunk("data: milk\n\n"), upstream_failure::invalid},
        {"no index", head + chunk("data: {\"text\":\"a\"}\n\n"), upstream_failure::invalid},
        {"negative index", head + chunk("data: {\"index\":-1,\"text\":\"a\"}\n\n"),
         upstream_failure::invalid},
        {"huge index", head + chunk("data: {\"index\":99999999999,\"text\":\"a\"}\n\n"),
         upstream_failure::invalid},
        {"text of another type", head + chunk("data: {\"index\":0,\"text\":[]}\n\n"),
         upstream_failure::invalid},
        {"endless line", head + chunk("data: " + std::string(200'000, 'x')),
         upstream_failure::invalid},
        {"an end without done", head + chunk(token_line(0, "a")) + "0\r\n\r\n",
         upstream_failure::broken},
    };
    for (bad_answer const& each : answers)
    {
        CAPTURE(each.name);
        exchange made{each.bytes};
        CHECK(made.failure() == each.cause);
    }
}

TEST_CASE("a wrong identity or index is passed on for the owner to check")
{
    exchange crossed{head +
                     chunk("data: {\"generation\":\"g-x\",\"index\":41,\"text\":\"a\"}\n\n") +
                     chunk(done_line(1))};
    CHECK_FALSE(crossed.failure());
    REQUIRE(crossed.tokens() == 1);
    auto const& token = std::get<upstream_token>(crossed.events.at(1));
    CHECK_FALSE(token.generation);
    CHECK(token.index == 41);
}

TEST_CASE("an upstream that refuses connections was sent nothing")
{
    boost::asio::io_context context;
    coordination::open_stream wanted;
    {
        tests::loopback gone{context};
        wanted.address = gone.where();
    }
    wanted.body = std::make_shared<std::string const>("prompt");
    std::optional<upstream_failure> cause;
    auto const stream = transport::open_engine_stream(
        context, wanted, "m", std::make_shared<transport::answer_memory>(),
        [&](coordination::request_event const& event)
        { cause = std::get<upstream_failed>(event).cause; });
    REQUIRE(run_until(context, [&] { return cause.has_value(); }));
    CHECK(*cause == upstream_failure::not_connected);
}

// Guards against half an answer that passes for whole: its process was killed within it.
TEST_CASE("a service's answer without a length isn't whole as its upstream is gone")
{
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    exchange half{"HTTP/1.1 200 OK\r\n\r\nhalf", call};
    REQUIRE(run_until(half.context, [&] { return half.upstream != nullptr; }));
    half.listener.acceptor.close();
    half.upstream->close();
    CHECK(half.failure());
}

// Guards against a whole answer that fails: its service answers the question late, or loses the
// first one.
TEST_CASE("a service's answer without a length is whole however late the service says it lives")
{
    bool const is_lost = GENERATE(false, true);
    CAPTURE(is_lost);
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    exchange whole{"HTTP/1.1 200 OK\r\n\r\nwhole", call};
    REQUIRE(run_until(whole.context, [&] { return whole.upstream != nullptr; }));
    std::unique_ptr<tests::raw_peer> question;
    whole.listener.acceptor.async_accept(
        [&](boost::system::error_code, transport::tcp::socket socket)
        { question = std::make_unique<tests::raw_peer>(std::move(socket)); });
    whole.upstream->close();
    REQUIRE(run_until(whole.context,
                      [&] { return question && question->received().ends_with("\r\n\r\n"); }));
    CHECK(question->received().starts_with("OPTIONS * "));
    if (is_lost)
    {
        auto const lost = std::move(question);
        whole.listener.acceptor.async_accept(
            [&](boost::system::error_code, transport::tcp::socket socket)
            { question = std::make_unique<tests::raw_peer>(std::move(socket)); });
        lost->close();
        REQUIRE(run_until(whole.context, [&] { return question != nullptr; }));
    }
    boost::asio::steady_timer pause{whole.context, std::chrono::seconds{1}};
    bool is_over = false;
    pause.async_wait([&](boost::system::error_code) { is_over = true; });
    REQUIRE(run_until(whole.context, [&] { return is_over; }));
    CHECK_FALSE(whole.ended);
    question->send("HTTP/1.1 405 None\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(whole.failure());
    CHECK(std::get<upstream_token>(whole.events.at(1)).text == "whole");
}

// Guards against a process that is killed while it is asked, and against a caller who has left.
TEST_CASE("a service's answer without a length isn't whole once the asked service is gone")
{
    bool const is_closed = GENERATE(false, true);
    CAPTURE(is_closed);
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    exchange half{"HTTP/1.1 200 OK\r\n\r\nhalf", call};
    REQUIRE(run_until(half.context, [&] { return half.upstream != nullptr; }));
    std::unique_ptr<tests::raw_peer> question;
    half.listener.acceptor.async_accept(
        [&](boost::system::error_code, transport::tcp::socket socket)
        { question = std::make_unique<tests::raw_peer>(std::move(socket)); });
    half.upstream->close();
    REQUIRE(run_until(half.context, [&] { return question != nullptr; }));
    if (is_closed)
    {
        half.stream->close();
    }
    half.listener.acceptor.close();
    question->close();
    if (is_closed)
    {
        boost::asio::steady_timer pause{half.context, std::chrono::milliseconds{500}};
        bool is_over = false;
        pause.async_wait([&](boost::system::error_code) { is_over = true; });
        REQUIRE(run_until(half.context, [&] { return is_over; }));
        CHECK_FALSE(half.ended);
        return;
    }
    CHECK(half.failure() == upstream_failure::broken);
    CHECK(half.tokens() == 0);
}

// The service ran the call and answered with its own status: the caller must receive it instead of
// an error of the system.
TEST_CASE("a service's answer keeps its status")
{
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    exchange made{"HTTP/1.1 507 Full\r\nContent-Length: 4\r\n\r\nfull", call};
    CHECK_FALSE(made.failure());
    CHECK(std::get<upstream_finished>(made.events.back()).status == 507);
    exchange refused{"HTTP/1.1 409 C\r\nPlumdale-Not-Run: true\r\nContent-Length: 0\r\n\r\n", call};
    CHECK(refused.failure() == upstream_failure::refused);
    exchange conflict{"HTTP/1.1 409 C\r\nContent-Length: 0\r\n\r\n", call};
    CHECK_FALSE(conflict.failure());
}

// Guards against a status that no answer has, passed on to the caller of a call.
TEST_CASE("a status that is none fails the exchange")
{
    for (auto const kind : {state::work_kind::call, state::work_kind::question})
    {
        for (std::string const status : {"000", "001", "099", "101", "600", "999", "20", "2000"})
        {
            for (std::string const before : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
            {
                CAPTURE(status, before);
                coordination::open_stream wanted;
                wanted.kind = kind;
                wanted.path = "/orders";
                exchange made{before + "HTTP/1.1 " + status +
                                  " Text\r\nPlumdale-Not-Run: true\r\nContent-Length: 2\r\n\r\nok",
                              wanted};
                auto const failure = made.failure();
                bool const is_invalid = failure == upstream_failure::invalid;
                CHECK((is_invalid || failure == upstream_failure::broken));
                CHECK(made.tokens() == 0);
            }
        }
    }
}

// Guards against an answer whose head has a line that is no field, passed on to a caller; a folded
// line may change how its body is framed.
TEST_CASE("a field whose name is none fails the exchange")
{
    for (std::string const line : {"Note one: 4", "Note : 4", " Note: 4", "\tNote: 4",
                                   "No\x01te: 4", "No\x7fte: 4", ": 4", "No(te: 4", "no colon"})
    {
        for (std::string const framing :
             {"Content-Length: 2", "Transfer-Encoding: chunked", "A: b"})
        {
            CAPTURE(line, framing);
            coordination::open_stream call;
            call.kind = state::work_kind::call;
            call.path = "/orders";
            exchange made{"HTTP/1.1 507 Full\r\n" + framing + "\r\n" + line +
                              "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                          call};
            CHECK(made.failure() == upstream_failure::broken);
            CHECK(made.tokens() == 0);
        }
    }
}

// Guards against an interim answer that is taken for the answer.
TEST_CASE("an engine's answer follows interim answers, up to a bound")
{
    for (std::string const status : {"100", "102", "103", "199"})
    {
        CAPTURE(status);
        std::string const one = "HTTP/1.1 " + status + " Text\r\n\r\n";
        std::string interim;
        for (std::uint32_t i = 0; i < protocol::max_interim_answers; ++i)
        {
            interim += one;
        }
        std::string const events = head + chunk(token_line(0, "a")) + chunk(done_line(1));
        exchange stream{interim + events};
        CHECK_FALSE(stream.failure());
        CHECK(stream.tokens() == 1);
        exchange endless{interim + one + events};
        CHECK(endless.failure() == upstream_failure::invalid);
        coordination::open_stream call;
        call.kind = state::work_kind::call;
        call.path = "/orders";
        exchange answered{interim + "HTTP/1.1 507 Full\r\nContent-Length: 4\r\n\r\nfull", call};
        CHECK_FALSE(answered.failure());
        CHECK(std::get<upstream_finished>(answered.events.back()).status == 507);
    }
}

TEST_CASE("a service's answer above the size limit breaks the exchange")
{
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    exchange made{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nx", call};
    CHECK(made.failure() == upstream_failure::broken);
}

namespace
{

/// \brief What an engine sends instead of an answer, again and again behind `begin`.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string piece;
};

std::vector<endless_answer> endless_answers()
{
    constexpr std::size_t piece_bytes = 16'384;
    std::string const zeros(piece_bytes, '0');
    std::string fields;
    std::string interim;
    while (fields.size() < piece_bytes)
    {
        fields += "Name: value\r\n";
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    return {{"a status line", "HTTP/1.1 200 ", zeros},
            {"a field", "HTTP/1.1 200 OK\r\nName: ", zeros},
            {"fields", "HTTP/1.1 200 OK\r\n", fields},
            {"no HTTP", "", std::string(piece_bytes, '\x01')},
            {"interim answers", "", interim},
            {"an interim answer's field", "HTTP/1.1 103 Early Hints\r\nName: ", zeros},
            {"a chunk's size", head, zeros},
            {"a chunk's extension", head + "4;", zeros},
            {"a chunk's quoted extension", head + "4;a=\"", zeros},
            {"trailers", head + "0\r\n", fields},
            {"a trailer", head + "0\r\nName: ", zeros}};
}

/// \brief Sends until the exchange ends; returns how many bytes that took, or `most`.
std::size_t send_without_end(exchange& made, std::string const& piece, std::size_t most)
{
    REQUIRE(run_until(made.context, [&] { return made.upstream != nullptr; }));
    std::size_t sent = 0;
    while (!made.ended && sent < most)
    {
        made.upstream->send(piece);
        sent += piece.size();
        made.context.restart();
        made.context.poll();
    }
    return sent;
}

} // namespace

// Guards against a VM whose memory fills with what an engine sends for a head, or between chunks.
TEST_CASE("an exchange with an engine ends at bytes without end", "[endless]")
{
    // Socket buffers, and what is read ahead of the parser.
    constexpr std::size_t most = 12UL * 1024 * 1024;
    for (auto const kind : {state::work_kind::call, state::work_kind::question})
    {
        for (endless_answer const& each : endless_answers())
        {
            CAPTURE(each.name, kind == state::work_kind::call);
            coordination::open_stream wanted;
            wanted.kind = kind;
            wanted.path = "/orders";
            exchange made{each.begin, wanted};
            CHECK(send_without_end(made, each.piece, most) < most);
            CHECK(made.ended);
        }
    }
}

// Guards against a call whose body fills the memory, and an event that is waited for without end.
TEST_CASE("an exchange with an engine ends at a body without end", "[endless]")
{
    constexpr std::size_t most = 40UL * 1024 * 1024;
    std::string const zeros(16'384, '0');
    for (auto const kind : {state::work_kind::call, state::work_kind::question})
    {
        for (std::string const& begin : {std::string{"HTTP/1.1 200 OK\r\n\r\n"}, head})
        {
            CAPTURE(begin, kind == state::work_kind::call);
            coordination::open_stream wanted;
            wanted.kind = kind;
            wanted.path = "/orders";
            exchange made{begin, wanted};
            std::string const piece = begin == head ? chunk(zeros) : zeros;
            CHECK(send_without_end(made, piece, most) < most);
            CHECK(made.ended);
        }
    }
}

// Guards against bodies of many calls that fill a VM's memory together, and cost small ones.
TEST_CASE("bodies of many calls together are bounded", "[endless]")
{
    constexpr int calls = 20;
    constexpr std::size_t bytes_each = 4UL * 1024 * 1024;
    std::string const piece(16'384, '0');
    auto const held = std::make_shared<transport::answer_memory>();
    coordination::open_stream call;
    call.kind = state::work_kind::call;
    call.path = "/orders";
    std::vector<std::unique_ptr<exchange>> exchanges;
    std::size_t bytes_waiting = 0;
    for (int i = 0; i < calls; ++i)
    {
        exchanges.push_back(std::make_unique<exchange>("HTTP/1.1 200 OK\r\n\r\n", call, held));
        std::size_t const sent = send_without_end(*exchanges.back(), piece, bytes_each);
        bytes_waiting += exchanges.back()->ended ? 0 : sent;
    }
    CHECK(bytes_waiting <= transport::answer_memory::max_held + bytes_each);
    exchange small{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", call, held};
    CHECK_FALSE(small.failure());
    exchanges.clear();
    CHECK(held->held() == 0);
}

TEST_CASE("mutated answers of an engine never stop the process")
{
    std::minstd_rand random{20261202};
    std::string const valid =
        head + chunk(token_line(0, "a") + token_line(1, "b")) + chunk(done_line(2)) + "0\r\n\r\n";
    for (int round = 0; round < 300; ++round)
    {
        std::string bytes = valid;
        for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
        {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        exchange made{bytes};
        REQUIRE(run_until(made.context, [&] { return made.ended || made.upstream != nullptr; }));
        made.context.restart();
        made.context.poll();
        made.upstream->close();
        REQUIRE(made.run());
    }
}
