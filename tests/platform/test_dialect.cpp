#include "platform/platform_dialect.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace std::chrono_literals;
using platform::platform_dialect;

namespace
{

protocol::message_head call_head()
{
    protocol::message_head head;
    head.method = "POST";
    head.target = "/lists/2f?x=1";
    head.fields = {{"Host", "a.example"},
                   {"Plumdale-Request-Id", "9c41"},
                   {"Plumdale-Token-Usage", "1460,80"},
                   {"Plumdale-Request-Deadline-Ms", "39000"},
                   {"Plumdale-Length-Hint", "70"},
                   {"plumdale-key", "secret"},
                   {"Content-Length", "3"},
                   {"Connection", "keep-alive, X-Local"},
                   {"X-Local", "1"},
                   {"X-Kept", "2"}};
    return head;
}

bool has_line(std::string const& head, std::string_view line)
{
    return head.find("\r\n" + std::string{line} + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("a caller's head is decoded once", "[dialect]")
{
    protocol::call_headers const headers = platform_dialect{}.read_call(call_head());
    CHECK(headers.id == "9c41");
    CHECK(headers.key == "secret");
    CHECK(headers.time_left == 39s);
    CHECK(headers.prompt_tokens == 1'460);
    CHECK(headers.output_limit == 80);
    CHECK(headers.output_hint == 70);
}

TEST_CASE("the parts of a prompt are read without its last one", "[dialect]")
{
    auto const parts_of = [](std::string_view text)
    {
        protocol::message_head head;
        head.fields = {{"Plumdale-Prompt-Prefix", std::string{text}}};
        return platform_dialect{}.read_call(head).shared_parts;
    };
    auto const part = [](std::string_view name)
    {
        return state::id_from_name<state::prompt_part>(name);
    };
    CHECK(parts_of("5c1e:800,91bd:410,e440:250") == std::vector{part("5c1e"), part("91bd")});
    CHECK(parts_of("5c1e:800, 91bd:410,e440:250") == std::vector{part("5c1e"), part("91bd")});
    CHECK(parts_of("5c1e:800,5c1e:800,e440:250") == std::vector{part("5c1e")});
    CHECK(parts_of("e440:250").empty());
    CHECK(parts_of("").empty());
    CHECK(parts_of(":1,,x").empty());
    CHECK(platform_dialect{}.read_call(call_head()).shared_parts.empty());
}

TEST_CASE("malformed figures in a caller's head read as missing", "[dialect]")
{
    for (char const* const text : {"", "soon", "-5", "nan", "inf"})
    {
        protocol::message_head head;
        head.fields = {{"Plumdale-Request-Deadline-Ms", text}, {"Plumdale-Token-Usage", text}};
        protocol::call_headers const headers = platform_dialect{}.read_call(head);
        CHECK_FALSE(headers.time_left);
        CHECK(headers.prompt_tokens == 0);
    }
}

TEST_CASE("the head passed on has the system's fields and not the caller's", "[dialect]")
{
    protocol::system_headers headers;
    headers.time_left = 1'500ms;
    headers.member = "i-7";
    headers.customer = "huka";
    headers.priority = 3;
    std::string const head = platform_dialect{}.forwarded_head(call_head(), headers, 3);
    CHECK(head.starts_with("POST /lists/2f?x=1 HTTP/1.1\r\n"));
    CHECK(has_line(head, "Plumdale-Request-Id: 9c41"));
    CHECK(has_line(head, "Plumdale-Request-Deadline-Ms: 1500"));
    CHECK(has_line(head, "Plumdale-Expect-Instance: i-7"));
    CHECK(has_line(head, "Plumdale-Tenant: huka"));
    CHECK(has_line(head, "Plumdale-Request-Priority: 3"));
    CHECK(has_line(head, "Content-Length: 3"));
    CHECK(has_line(head, "X-Kept: 2"));
    CHECK(head.find("secret") == std::string::npos);
    CHECK(head.find("X-Local") == std::string::npos);
    CHECK(head.find("39000") == std::string::npos);
}

// Guards against a caller that sets a field reserved for the system, in upper or lower case: an
// upstream would bill another customer, or resume from the memory of another caller's draft.
TEST_CASE("fields of the system are never taken from a caller", "[dialect]")
{
    for (char const* const name :
         {"Plumdale-Tenant", "plumdale-hold", "PLUMDALE-PIN-MS", "Plumdale-Kv-Backup", "kv-from",
          "Kv-Fetch", "Plumdale-Request-Priority", "Plumdale-Expect-Instance",
          "Plumdale-Expect-Version"})
    {
        INFO(name);
        protocol::message_head head = call_head();
        head.fields.push_back({name, "forged"});
        protocol::system_headers headers;
        headers.time_left = 1s;
        headers.member = "i-7";
        CHECK(platform_dialect{}.forwarded_head(head, headers, 0).find("forged") ==
              std::string::npos);
    }
}

TEST_CASE("a resumed generation names its memory and its last event", "[dialect]")
{
    protocol::system_headers headers;
    headers.time_left = 1s;
    headers.member = "i-8";
    headers.resume_from = protocol::resume_point{{0x0a000001, 80}, "h-9", 41};
    headers.backup = state::endpoint{0x0a000002, 81};
    protocol::message_head head = call_head();
    head.fields.push_back({"Last-Event-Id", "7"});
    std::string const text = platform_dialect{}.forwarded_head(head, headers, 0);
    CHECK(has_line(text, "Kv-From: 10.0.0.1:80/h-9"));
    CHECK(has_line(text, "Last-Event-Id: 41"));
    CHECK(text.find("Last-Event-Id: 7") == std::string::npos);
    CHECK(has_line(text, "Plumdale-Kv-Backup: 10.0.0.2:81"));
}

TEST_CASE("a malformed request limit is ignored", "[dialect]")
{
    auto const limit_in = [](std::string const& text)
    {
        protocol::message_head head;
        head.fields = {{"Server-Limit", text}};
        return platform_dialect{}.read_answer(head).statement.request_limit;
    };
    CHECK(limit_in("3.1") == 3.1);
    CHECK(limit_in("0") == 0.0);
    for (std::string const damaged : {"", "many", "3,1", "3.1/s", "-1", "inf", "nan"})
    {
        CAPTURE(damaged);
        CHECK_FALSE(limit_in(damaged));
    }
}

TEST_CASE("an upstream's statements are read from the fields of any answer", "[dialect]")
{
    auto const statement = [](unsigned status, std::string const& name, std::string const& value)
    {
        std::vector<protocol::header_field> const fields{{"Host", "x"}, {name, value}};
        return platform_dialect{}.read_statement(status, fields);
    };
    for (unsigned const status : {100U, 200U, 404U, 421U, 500U, 503U})
    {
        CAPTURE(status);
        CHECK(statement(status, "server-leaving", "1").leaves);
        CHECK_FALSE(statement(status, "Server-Leaving", "0").leaves);
        bool const counts = status == 503;
        CHECK(statement(status, "retry-after", "1.5").retry_after.has_value() == counts);
    }
    CHECK(statement(503, "Retry-After", "1.5").retry_after == 1'500ms);
    CHECK(statement(503, "Retry-After", "0").retry_after == 0s);
    CHECK(statement(503, "Retry-After", "1e300").retry_after == 24h);
    for (std::string const damaged : {"", "soon", "-1", "nan", "inf"})
    {
        CAPTURE(damaged);
        CHECK_FALSE(statement(503, "Retry-After", damaged).retry_after);
    }
}

TEST_CASE("an upstream's head is decoded once", "[dialect]")
{
    protocol::message_head head;
    head.status = 421;
    head.fields = {{"plumdale-request-id", "9c41"},    {"Plumdale-Response-Seal", "x"},
                   {"Keep-Alive", "timeout=5, max=9"}, {"Connection", "Close"},
                   {"Content-Encoding", "gzip"},       {"Plumdale-Cold-Ms", "700"}};
    protocol::answer_headers const headers = platform_dialect{}.read_answer(head);
    CHECK(headers.id == "9c41");
    CHECK(headers.is_signed);
    CHECK(headers.misdirected);
    CHECK(headers.encoded);
    CHECK(headers.closes);
    CHECK(headers.keep_alive == 5s);
    CHECK(headers.statement.cold_for == 700ms);
    CHECK_FALSE(headers.statement.request_limit);
    CHECK_FALSE(headers.not_run);
}

TEST_CASE("changes of the store are decoded", "[dialect]")
{
    // {"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":24,"state":"draining",
    //  "coldLeftMs":0,"sequence":4}
    std::string const body =
        R"({"events":[{"key":"servers/i-1","value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjI0LCJzdGF0ZSI6ImRyYWluaW5nIiwiY29sZExlZnRNcyI6MCwic2VxdWVuY2UiOjR9","revision":12},)"
        R"({"key":"servers/i-2","revision":13,"deleted":true},{"key":"other","value":"eA==","revision":9},)"
        R"({"key":"servers/i-3","value":"!!","revision":14},7],"atRev":14})";
    auto const page = platform_dialect{}.read_changes(body);
    REQUIRE(page);
    CHECK(page.value().revision == 14);
    REQUIRE(page.value().members.size() == 2);
    CHECK(page.value().members[0].name == "i-1");
    CHECK(page.value().members[0].leaving);
    CHECK(page.value().members[0].slots == 24);
    CHECK(page.value().members[0].address == state::endpoint{0x0a000009, 80});
    CHECK_FALSE(page.value().members[1].listed);
    CHECK(page.value().members[1].revision == 13);
    REQUIRE(page.value().unusable.size() == 1);
    CHECK(page.value().unusable[0].name == "i-3");
    CHECK(page.value().unusable[0].revision == 14);
    CHECK(page.value().unusable[0].reason == "value");
}

TEST_CASE("a configuration is decoded into types", "[dialect]")
{
    auto const configuration = platform_dialect{}.decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"a","prefix":"/l/","routeType":"streaming","timeoutMs":39000,)"
        R"("targetLatencyMs":1800,"targetGapMs":180,"priority":1,"maxAttempts":2,"public":true,)"
        R"("weightedServices":[{"service":"s","weight":90},{"service":"t","weight":10}]},)"
        R"({"name":"q","host":"a","prefix":"/q/","routeType":"new kind","service":"t"}],)"
        R"("services":[{"name":"s","maxConnections":252,"inferenceEngine":{"slots":24,"kvCapacityTokens":34288,)"
        R"("kvBytes":131072,"linkMbps":19000.0,"migrations":true,"backups":true,"stride":4,"handleTtlS":5.0},)"
        R"("coldPerS":35,"coldStartS":1.5},{"name":"t","coldPerS":0,"coldStartS":0}],)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
        R"("tenants":[{"name":"c","apiKeys":["k"],"priority":2}]})");
    REQUIRE(configuration);
    state::routing_configuration const& read = configuration.value();
    CHECK(read.version == 7);
    REQUIRE(read.routes.size() == 2);
    CHECK(read.routes[0].kind == state::call_kind::streaming);
    CHECK(read.routes[0].timeout == 39s);
    CHECK(read.routes[0].target_gap == 180ms);
    CHECK(read.routes[0].services[0].weight == 90.0);
    CHECK(read.routes[0].is_public);
    // A call of an unknown kind must not run twice.
    CHECK(read.routes[1].kind == state::call_kind::non_idempotent);
    CHECK(read.routes[1].services[0].service == "t");
    REQUIRE(read.services[0].engine);
    CHECK(read.services[0].engine->memory_tokens == 34'288);
    CHECK(read.services[0].engine->tokens_per_event == 4);
    CHECK(read.services[0].engine->live_migration);
    CHECK_FALSE(read.services[1].engine);
    REQUIRE(read.services[0].cold);
    CHECK(read.services[0].cold->requests_per_second == 35.0);
    CHECK(read.services[0].cold->time == 1500ms);
    CHECK_FALSE(read.services[1].cold);
    CHECK(read.limits.idle_timeout == 15s);
    CHECK(read.customers[0].priority == 2U);
}

// Guards against a number of an upstream or an operator that overflows a time or is cut to a small
// one.
TEST_CASE("numbers out of range are bounded", "[dialect]")
{
    platform_dialect const dialect;
    for (std::string const number : {"1e300", "-1e300", "1e400", "9223372036854775807", "-5"})
    {
        auto const report = dialect.read_report(R"({"leaves_ms":)" + number + "}");
        REQUIRE(report);
        CHECK(report.value().leaves_in >= 0s);
        CHECK(report.value().leaves_in <= 24h);
        auto const configuration = dialect.decode_configuration(
            R"({"version":1,"routes":[{"timeoutMs":)" + number + R"(,"targetGapMs":)" + number +
            R"(}],"services":[{"inferenceEngine":{"handleTtlS":)" + number + "}}]}");
        REQUIRE(configuration);
        auto const& route = configuration.value().routes.front();
        auto const& engine = *configuration.value().services.front().engine;
        for (state::duration const time : {route.timeout, route.target_gap, engine.copy_lifetime})
        {
            CHECK(time >= 0s);
            CHECK(time <= 24h);
        }
    }
    // 2^32 + 1
    auto const large = dialect.decode_configuration(
        R"({"version":1,"routes":[{"maxAttempts":4294967297}],"limits":{"maxBodyBytes":4294967297}})");
    REQUIRE(large);
    CHECK(large.value().routes.front().max_attempts == UINT32_MAX);
    CHECK(large.value().limits.body_bytes == UINT32_MAX);
}

TEST_CASE("malformed bodies are reported as errors", "[dialect]")
{
    platform_dialect const dialect;
    for (char const* const body : {"", "[", "7", "{\"a\":", "[1]"})
    {
        CHECK_FALSE(dialect.decode_configuration(body));
        CHECK_FALSE(dialect.read_changes(body));
        CHECK_FALSE(dialect.read_copy_answer(body));
        CHECK_FALSE(dialect.read_report(body));
    }
    CHECK_FALSE(dialect.decode_configuration("{}"));
    CHECK_FALSE(dialect.read_copy_answer("{}"));
    CHECK(dialect.read_report(R"({"leaves_ms":1500})").value().leaves_in == 1'500ms);
    CHECK_FALSE(dialect.read_report("{}").value().leaves_in);
    CHECK(dialect.read_report(R"({"born":1784177076285})").value().started.value == 1784177076285);
    CHECK(dialect.read_report(R"({"born":"now"})").value().started.value == 0);
}

// Guards against a field or a request of an upstream's choice in what is sent to other upstreams.
TEST_CASE("a handle that no field can hold is none", "[dialect]")
{
    for (std::string const handle : {"h 1", "h\\r\\nX: y", "h\\u0001", "h\\u007f", "h\\u00e9", ""})
    {
        INFO(handle);
        std::string const body = R"({"handleId":")" + handle + R"(","createdRev":3})";
        CHECK_FALSE(platform_dialect{}.read_copy_answer(body));
    }
    auto const sound = platform_dialect{}.read_copy_answer(R"({"handleId":"h-1","createdRev":3})");
    REQUIRE(sound);
    CHECK(sound.value().handle == "h-1");
}

TEST_CASE("a handle is escaped in the path of its release", "[dialect]")
{
    CHECK(platform_dialect{}.copy_release_request("h-1").target == "/v1/kv-handle/h-1");
    CHECK(platform_dialect{}.copy_release_request("h?a#%/").target ==
          "/v1/kv-handle/h%3Fa%23%25%2F");
}
