#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// Arrivals of a request beyond its first are bounded for all VMs together, whatever they are sent
// for.

namespace
{

constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";
constexpr std::string_view signature_field = "Plumdale-Response-Seal: s\r\n";
constexpr std::string_view resumption_field = "Kv-From: ";

/// \brief A draft with a backup and one event.
struct backed_up_draft
{
    explicit backed_up_draft(forward_fixture& fixture)
        : caller{fixture.call("/draft/1", "id-1", draft_fields)}, source{
                                                                      fixture.upstream_connection(
                                                                          "Request-Id: id-1")}
    {
        source->send(stream_head("id-1") + event_chunk(1));
        fixture.run_until([this]
                          { return caller->received.find("data: e1") != std::string::npos; });
        REQUIRE(source->received.find("Plumdale-Kv-Backup: ") != std::string::npos);
    }

    std::shared_ptr<scripted_caller> caller;
    std::shared_ptr<scripted_connection> source;
};

} // namespace

// Guards against resumptions that reach upstreams beyond what the fleet is allowed.
TEST_CASE("a draft without a retry left is not resumed", "[repeats]")
{
    forward_fixture fixture;
    fixture.settings.retry_limit = {0.0, 0.0, 10s};
    backed_up_draft draft{fixture};
    fixture.upstream_of("Request-Id: id-1").crash();
    fixture.run_until([&] { return draft.caller->ended; });
    CHECK(fixture.request_count(resumption_field) == 0);
    CHECK(draft.caller->received.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a resumption that its upstream refuses, and that is sent again without limit.
TEST_CASE("each send of a resumption spends a retry", "[repeats]")
{
    forward_fixture fixture;
    // A draft and a second call pay for one retry.
    fixture.settings.retry_limit = {0.8, 0.0, 10s};
    fixture.core.note_call("engine");
    backed_up_draft draft{fixture};
    fixture.upstream_of("Request-Id: id-1").crash();
    fixture.upstream_connection(resumption_field)
        ->send(answer_text(503, "id-1", "", "Plumdale-Not-Executed: 1\r\nConnection: close\r\n"));
    fixture.run_until([&] { return draft.caller->ended; });
    CHECK(fixture.request_count(resumption_field) == 1);
}

// Guards against a VM that spends, after each start, what its former process has just spent.
TEST_CASE("a VM that has just started has no part of the slack", "[repeats]")
{
    forward_fixture fixture;
    fixture.settings.retry_limit = {0.0, 50.0, 10s};
    auto const caller = fixture.call("/fetch/1", "id-1");
    fixture.upstream_connection("id-1")->send(answer_text(500, "id-1", "no", signature_field));
    fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(fixture.request_count("id-1") == 1);
}
