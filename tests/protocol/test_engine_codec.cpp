#include "mutation.hpp"

#include <plumdale/protocol/engine_codec.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace plumdale;
using namespace plumdale::protocol;

namespace
{

state::generation_id const id{{1}, {2}, 3, {4}};
constexpr std::string_view load_body =
    R"({"sequence":7,"age_ms":250,"uptime":9,"blocks_total":100,"blocks_used":40,)"
    R"("block_tokens":16,"running":3,"waiting":1,"preemptions":2})";

std::string token_line()
{
    return R"({"generation":")" + to_text(id) + R"(","index":5,"text":"milk"})";
}

std::vector<std::string> lines_of(event_data_splitter& splitter)
{
    std::vector<std::string> lines;
    std::string line;
    while (splitter.next(line))
    {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

TEST_CASE("token events and done events are distinguished", "[engine_codec]")
{
    auto const token = decode_engine_event(token_line());
    REQUIRE(token);
    auto const& value = std::get<engine_token>(token.value());
    CHECK(value.generation == id);
    CHECK(value.index == 5);
    CHECK(value.text == "milk");
    auto const done = decode_engine_event(R"({"generation":"x","done":true,"count":6})");
    REQUIRE(done);
    CHECK(std::get<engine_done>(done.value()).count == 6);
    CHECK_FALSE(std::get<engine_done>(done.value()).generation);
}

TEST_CASE("malformed events of an engine are upstream faults", "[engine_codec]")
{
    std::array<std::string_view, 8> const events{"",
                                                 "{",
                                                 "[]",
                                                 R"({"text":"a"})",
                                                 R"({"index":-1,"text":"a"})",
                                                 R"({"index":0})",
                                                 R"({"index":0,"text":5})",
                                                 R"({"done":true})"};
    for (std::string_view const event : events)
    {
        CAPTURE(event);
        auto const decoded = decode_engine_event(event);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().kind == state::error_kind::upstream_fault);
    }
}

TEST_CASE("a load report is decoded completely or refused", "[engine_codec]")
{
    auto const report = decode_load(load_body);
    REQUIRE(report);
    CHECK(report.value().age == std::chrono::milliseconds{250});
    CHECK(report.value().blocks_used == 40);
    CHECK_FALSE(decode_load(R"({"blocks_total":100})"));
}

TEST_CASE("events split at any byte give the same data lines", "[engine_codec]")
{
    std::string const bytes = ": beat\n\ndata: {\"a\":1}\n\ndata:{\"b\":2}\n\n";
    std::vector<std::string> const whole{" {\"a\":1}", "{\"b\":2}"};
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
    {
        event_data_splitter splitter;
        REQUIRE(splitter.append(bytes.substr(0, cut)));
        std::vector<std::string> lines = lines_of(splitter);
        REQUIRE(splitter.append(bytes.substr(cut)));
        for (std::string const& line : lines_of(splitter))
        {
            lines.push_back(line);
        }
        CHECK(lines == whole);
    }
}

// Guards against an engine that sends bytes without a line end: the entry VM's memory would grow
// without bound. The splitter refuses at its limit and the exchange ends as invalid.
TEST_CASE("a line without a line end is refused at the limit", "[engine_codec]")
{
    event_data_splitter splitter;
    std::string const piece(4096, 'a');
    bool taken = true;
    std::size_t bytes = 0;
    while (taken && bytes <= 2 * event_data_splitter::line_limit)
    {
        taken = splitter.append(piece);
        bytes += piece.size();
    }
    CHECK_FALSE(taken);
}

TEST_CASE("damaged events and reports are decoded or refused", "[engine_codec][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        CAPTURE(seed);
        auto const event = decode_engine_event(test::mutate(token_line(), seed));
        CHECK((event || event.error().kind == state::error_kind::upstream_fault));
        auto const report = decode_load(test::mutate(load_body, seed));
        CHECK((report || report.error().kind == state::error_kind::upstream_fault));
    }
}
