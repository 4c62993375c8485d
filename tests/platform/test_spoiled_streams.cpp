#include "forward_fixture.hpp"
#include "short_objective.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// An upstream spoils a chunk of a draft and works on though its connection is closed. Guards
// against a second upstream at work on the same draft.

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view stop_order = "\"isLast\":true";

/// \brief A draft with a backup whose upstream has just sent a spoiled chunk.
struct spoiled_draft
{
    explicit spoiled_draft(forward_fixture& under_test)
        : fixture{under_test}, caller{fixture.call("/draft/1", "id-1", draft_fields)}
    {
        auto const upstream = fixture.upstream_connection("Request-Id: id-1");
        upstream->send(stream_head("id-1") + event_chunk(1));
        fixture.run_until([this]
                          { return caller->received.find("data: e1\n") != std::string::npos; });
        upstream->send("zz\r\n");
        order = fixture.upstream_connection(stop_order);
    }

    void check_not_resumed_for(std::chrono::milliseconds time) const
    {
        auto const end = std::chrono::steady_clock::now() + time;
        fixture.run_until([end] { return std::chrono::steady_clock::now() > end; });
        CHECK(fixture.request_count("Kv-From: ") == 0);
    }

    void check_goes_on() const
    {
        auto const resumed = fixture.upstream_connection("Kv-From: ");
        CHECK(resumed->received.find("Last-Event-Id: 1\r\n") != std::string::npos);
        resumed->send(stream_head("id-1") + event_chunk(2) + std::string{last_chunk});
        fixture.run_until([this] { return caller->received.ends_with(last_chunk); });
        CHECK(caller->received.find("data: e2\n") != std::string::npos);
    }

    forward_fixture& fixture;
    std::shared_ptr<scripted_caller> caller;
    std::shared_ptr<scripted_connection> order;
};

} // namespace

TEST_CASE("a draft whose stream is spoiled goes on once its upstream has stopped it",
          "[spoiled_streams]")
{
    forward_fixture fixture;
    spoiled_draft const draft{fixture};
    draft.check_not_resumed_for(450ms);
    draft.order->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    draft.check_goes_on();
}

TEST_CASE("a draft whose stream is spoiled goes on once its upstream doesn't know it",
          "[spoiled_streams]")
{
    forward_fixture fixture;
    spoiled_draft const draft{fixture};
    draft.check_not_resumed_for(20ms);
    draft.order->send(answer_text(404, "", "{}"));
    draft.check_goes_on();
}

TEST_CASE("a draft whose stream is spoiled goes on if its upstream is gone", "[spoiled_streams]")
{
    forward_fixture fixture;
    spoiled_draft const draft{fixture};
    draft.check_not_resumed_for(20ms);
    fixture.upstream_of(stop_order).crash();
    draft.check_goes_on();
}

// Its objective is short, so its caller leaves after two seconds without an event. Guards against a
// second run, against an answer that looks whole, and against orders without a pause.
TEST_CASE("a draft that its upstream won't stop breaks off as its caller's time is over",
          "[spoiled_streams]")
{
    constexpr auto patience = 2s;
    constexpr std::size_t most_orders = 8;
    forward_fixture fixture;
    fixture.core.apply_configuration(std::string{short_objective}, "test");
    spoiled_draft const draft{fixture};
    auto const began_at = std::chrono::steady_clock::now();
    std::size_t answered = 0;
    while (!draft.caller->ended)
    {
        for (auto const& upstream : fixture.upstreams)
        {
            auto const orders = upstream->connections_with(stop_order);
            for (; answered < orders.size(); ++answered)
            {
                orders[answered]->send(answer_text(503, "", "{}"));
            }
        }
        fixture.context.restart();
        fixture.context.run_one_for(20ms);
    }
    CHECK(std::chrono::steady_clock::now() - began_at > patience - 100ms);
    CHECK(answered <= most_orders);
    CHECK(fixture.request_count("Kv-From: ") == 0);
    CHECK_FALSE(draft.caller->received.ends_with(last_chunk));
}
