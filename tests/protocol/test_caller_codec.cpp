#include "mutation.hpp"

#include <plumdale/protocol/caller_codec.hpp>
#include <plumdale/protocol/digest.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace plumdale;
using namespace plumdale::protocol;
using state::error_kind;

namespace
{

constexpr state::time_point start{std::chrono::hours{1}};
constexpr std::string_view prompt_body = R"({"model":"lists","prompt":"milk?"})";

http_request_view completion(std::string_view body)
{
    http_request_view message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.authorization = "Bearer key";
    message.body = body;
    return message;
}

error_kind rejected_kind(http_request_view const& message)
{
    auto const decoded = decode_request(message, start);
    REQUIRE_FALSE(decoded);
    return decoded.error().kind;
}

std::string identity()
{
    return to_text(state::generation_id{{1}, {2}, 3, {4}});
}

} // namespace

TEST_CASE("a question is repeatable and a draft is not", "[caller_codec]")
{
    http_request_view message = completion(prompt_body);
    auto const question = decode_request(message, start);
    REQUIRE(question);
    CHECK(question.value().kind == state::work_kind::question);
    CHECK(question.value().repeatable);
    CHECK_FALSE(question.value().streamed);
    CHECK(question.value().api_key == sha256("key"));
    CHECK(*question.value().body == "milk?");
    message.kind = "draft";
    CHECK_FALSE(decode_request(message, start).value().repeatable);
    message.repeatable = "true";
    CHECK(decode_request(message, start).value().repeatable);
}

TEST_CASE("chat messages become one prompt, in order", "[caller_codec]")
{
    auto const decoded = decode_request(
        completion(
            R"({"model":"m","stream":true,"max_tokens":7,"messages":[)"
            R"({"role":"system","content":"Be short."},{"role":"user","content":"Milk?"}]})"),
        start);
    REQUIRE(decoded);
    CHECK(*decoded.value().body == "system: Be short.\nuser: Milk?\n");
    CHECK(decoded.value().max_tokens == 7);
    CHECK(decoded.value().streamed);
}

TEST_CASE("a deadline is counted from the request's arrival", "[caller_codec]")
{
    http_request_view message = completion(prompt_body);
    message.deadline_ms = "250";
    CHECK(decode_request(message, start).value().deadline ==
          start + std::chrono::milliseconds{250});
}

TEST_CASE("an attach resumes after the last event", "[caller_codec]")
{
    std::string const target = "/v1/generations/" + identity();
    std::string const last = identity() + "@00000000000000ff/41";
    http_request_view message;
    message.method = "GET";
    message.target = target;
    message.authorization = "Bearer key";
    message.last_event_id = last;
    auto const decoded = decode_request(message, start);
    REQUIRE(decoded);
    CHECK(decoded.value().op == state::operation::attach);
    CHECK(decoded.value().next_index == 42);
    CHECK(decoded.value().upstream_hint == state::upstream_id{255});
}

TEST_CASE("the same idempotency key of two customers gives two ids", "[caller_codec]")
{
    http_request_view message = completion(prompt_body);
    message.idempotency_key = "order-1";
    state::idempotency_key_id const one = decode_request(message, start).value().key;
    message.authorization = "Bearer another";
    CHECK(decode_request(message, start).value().key != one);
}

TEST_CASE("malformed bodies are refused as invalid requests", "[caller_codec]")
{
    std::string const deep = R"({"model":"m","prompt":)" + std::string(100, '[') + "}";
    std::array<std::string_view, 13> const bodies{"",
                                                  "[]",
                                                  "null",
                                                  R"({"prompt":"a"})",
                                                  R"({"model":"","prompt":"a"})",
                                                  R"({"model":1,"prompt":"a"})",
                                                  R"({"model":"m"})",
                                                  R"({"model":"m","prompt":1})",
                                                  R"({"model":"m","prompt":"a","max_tokens":-1})",
                                                  R"({"model":"m","prompt":"a","max_tokens":"7"})",
                                                  R"({"model":"m","prompt":"a","stream":"yes"})",
                                                  R"({"model":"m","messages":[{"role":"user"}]})",
                                                  deep};
    for (std::string_view const body : bodies)
    {
        CAPTURE(body);
        CHECK(rejected_kind(completion(body)) == error_kind::invalid_request);
    }
}

TEST_CASE("malformed headers and paths are refused with the matching error kind", "[caller_codec]")
{
    struct row
    {
        std::string_view http_request_view::*field;
        std::string_view value;
        error_kind kind;
    };
    std::array const rows{
        row{&http_request_view::authorization, "", error_kind::unauthenticated},
        row{&http_request_view::authorization, "Basic key", error_kind::unauthenticated},
        row{&http_request_view::generation, "g-1-2", error_kind::unknown_generation},
        row{&http_request_view::attempt, "0", error_kind::invalid_request},
        row{&http_request_view::attempt, "first", error_kind::invalid_request},
        row{&http_request_view::repeatable, "maybe", error_kind::invalid_request},
        row{&http_request_view::kind, "poem", error_kind::invalid_request},
        row{&http_request_view::deadline_ms, "-5", error_kind::invalid_request},
        row{&http_request_view::deadline_ms, "99999999999", error_kind::invalid_request},
        row{&http_request_view::method, "PUT", error_kind::invalid_request},
        row{&http_request_view::target, "/v2/completions", error_kind::invalid_request},
        row{&http_request_view::target, "/v1/generations/g-zz", error_kind::unknown_generation},
        row{&http_request_view::target, "/v1/services/", error_kind::unknown_model}};
    for (row const& each : rows)
    {
        CAPTURE(each.value);
        http_request_view message = completion(prompt_body);
        message.*each.field = each.value;
        CHECK(rejected_kind(message) == each.kind);
    }
}

TEST_CASE("an error object contains its claim, and the retry time if there is one",
          "[caller_codec]")
{
    std::string const busy =
        error_body({error_kind::overloaded, "x", std::chrono::seconds{2}, {}, 0});
    CHECK(busy.find(R"("claim":"not_run")") != std::string::npos);
    CHECK(busy.find(R"("retry_after_ms":2000)") != std::string::npos);
    std::string const broken = error_body({error_kind::may_have_run, {}, {}, {{1}, {2}, 3, {}}, 5});
    CHECK(broken.find("retry_after_ms") == std::string::npos);
    CHECK(broken.find(R"("next_index":5)") != std::string::npos);
}

TEST_CASE("a token's text stays on one data line", "[caller_codec]")
{
    std::string const event = token_event({{{1}, {2}, 3, {}}, {9}, 0}, "a\n\ndata: b\"");
    CHECK(event.find("\n\n") == event.size() - 2);
    CHECK(event.find(R"(a\n\ndata: b\")") != std::string::npos);
}

// Guards against damaged requests of a caller that end the process: each is decoded or refused.
// The address sanitizer in CI also shows memory errors.
TEST_CASE("damaged requests are decoded or refused", "[caller_codec][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    {
        CAPTURE(seed);
        std::string const body = test::mutate(prompt_body, seed);
        std::string const id = test::mutate(identity(), seed);
        std::string const last = test::mutate(identity() + "@00ff/41", seed);
        std::string const target = test::mutate("/v1/generations/" + identity(), seed);
        http_request_view message = completion(body);
        auto const run = decode_request(message, start);
        CHECK((run || run.error().kind != error_kind::internal));
        message.generation = id;
        message.last_event_id = last;
        message.target = target;
        message.method = "GET";
        auto const attach = decode_request(message, start);
        CHECK((attach || attach.error().kind != error_kind::internal));
    }
}
