#include "peer_vm.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

/// \brief Sends a call, has the upstream that gets it answer, and returns what the caller received.
std::string answer_to_call(forward_fixture& fixture, std::string_view kind, std::string const& id)
{
    bool const is_draft = kind == "draft";
    auto const caller = fixture.call("/" + std::string{kind} + "/" + id, id,
                                     is_draft ? draft_fields : std::string_view{});
    std::string const field = "Plumdale-Request-Id: " + id;
    fixture.run_until([&]
                      { return !caller->received.empty() || fixture.request_count(field) > 0; });
    if (caller->received.empty())
    {
        fixture.upstream_connection(field)->send(
            is_draft ? stream_head(id) + event_chunk(1) + "0\r\n\r\n"
                     : answer_text(200, id, "whole", signature_field));
        fixture.run_until(
            [&] {
                return caller->received.find(is_draft ? "0\r\n\r\n" : "whole") != std::string::npos;
            });
    }
    return caller->received;
}

} // namespace

// Guards against refusals by a VM that lost its paths to all upstreams while its peers reach them.
TEST_CASE("calls at a VM without a path to any upstream run through a peer", "[reach]")
{
    for (lost_path const how : {lost_path::refused, lost_path::silent})
    {
        CAPTURE(static_cast<int>(how));
        forward_fixture fixture;
        peer_vm peer{fixture, 1};
        peer.join();
        dead_address const nowhere{how};
        cut_paths(fixture, fixture.core, nowhere);
        int number = 0;
        for (std::string_view const kind : {"event", "fetch", "draft", "event", "draft", "fetch"})
        {
            std::string const id = "id-" + std::to_string(100 + ++number);
            CAPTURE(id, kind);
            CHECK(answer_to_call(fixture, kind, id).starts_with("HTTP/1.1 200"));
            CHECK(fixture.request_count("Plumdale-Request-Id: " + id) == 1);
        }
    }
}
