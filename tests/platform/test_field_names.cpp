#include "closed_draft.hpp"
#include "forward_fixture.hpp"
#include "peer_vm.hpp"
#include "running_draft.hpp"
#include "transport/http_fetch.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// Upstreams in trouble send heads in which a field's name is none (RFC 9110, 5.1).

namespace
{

/// \brief Lines of a head that are no field.
std::vector<std::string> odd_lines()
{
    std::vector<std::string> lines;
    for (std::string const name :
         {"Plumdale Note", "Note ", " Note", "\tNote", "No\tte", "", "No(te", "No\x7fte",
          "No\x01te", "No\x80te", "No\rte", "No\nte", "Content-Length ", "Transfer-Encoding\t"})
    {
        lines.push_back(name + ": 4\r\n");
    }
    lines.push_back(std::string{"No\0te", 5} + ": 4\r\n");
    lines.push_back("no colon\r\n");
    return lines;
}

/// \brief Whole answers with an odd line before, between and behind their fields.
std::vector<std::string> odd_answers(std::string_view line, std::string_view id)
{
    std::string const status = "HTTP/1.1 200 OK\r\n";
    std::string const fields =
        "Plumdale-Request-Id: " + std::string{id} + "\r\nPlumdale-Response-Seal: seal\r\n";
    std::string const length = "Content-Length: 8\r\n";
    std::string const odd{line};
    return {status + odd + fields + length + "\r\nyes, yes",
            status + fields + odd + length + "\r\nyes, yes",
            status + fields + length + odd + "\r\nyes, yes",
            status + fields + "Transfer-Encoding: chunked\r\n" + odd +
                "\r\n8\r\nyes, yes\r\n0\r\n\r\n",
            status + fields + odd + "\r\nyes, yes"};
}

void check_failed(forward_fixture& fixture, scripted_caller const& caller)
{
    fixture.run_until([&] { return caller.received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller.received.starts_with("HTTP/1.1 502 "));
    CHECK(caller.received.find("yes") == std::string::npos);
    CHECK(caller.received.find("No") == std::string::npos);
}

constexpr std::array<std::string_view, 2> paths{"/event/1", "/draft/1"};

} // namespace

// Guards against a head that is passed on with a line that is no field, or with another body.
TEST_CASE("an answer with a field whose name is none fails its call", "[field_names]")
{
    for (std::string_view const path : paths)
    {
        for (std::string const& line : odd_lines())
        {
            for (std::string const& answer : odd_answers(line, "id-1"))
            {
                INFO(path << "\n" << answer);
                forward_fixture fixture{1};
                auto const caller = fixture.call(path, "id-1", draft_fields);
                scripted_upstream& upstream = fixture.upstream_of(id_field("id-1"));
                upstream.connections_with(id_field("id-1")).front()->send(answer);
                upstream.connections_with(id_field("id-1")).front()->close();
                check_failed(fixture, *caller);
                CHECK(fixture.request_count(id_field("id-1")) == 1);
            }
        }
    }
}

// Guards against the same on its way through a peer.
TEST_CASE("an answer with a field whose name is none fails its call through a peer",
          "[field_names]")
{
    dead_address const nowhere{lost_path::refused};
    for (std::string const& line : odd_lines())
    {
        INFO(line);
        forward_fixture fixture{1};
        peer_vm peer{fixture, 1};
        peer.join();
        cut_paths(fixture, fixture.core, nowhere);
        auto const caller = fixture.call("/event/1", "id-1");
        fixture.upstream_connection(id_field("id-1"))->send(odd_answers(line, "id-1").front());
        check_failed(fixture, *caller);
    }
}

// Guards against an idempotent call whose caller gets such an answer though another upstream lives.
TEST_CASE("an idempotent call goes elsewhere after a field whose name is none", "[field_names]")
{
    for (std::string const& line : odd_lines())
    {
        INFO(line);
        forward_fixture fixture{1};
        auto const caller = fixture.call("/fetch/1", "id-1");
        fixture.upstream_connection(id_field("id-1"))->send(odd_answers(line, "id-1").front());
        fixture.run_until([&] { return fixture.request_count(id_field("id-1")) == 2; });
        CHECK(caller->received.empty());
    }
}

// Guards against an order whose effect, or a store whose page, is read from such an answer.
TEST_CASE("nothing is fetched from an answer with a field whose name is none", "[field_names]")
{
    for (std::string const& line : odd_lines())
    {
        for (std::string const& answer : odd_answers(line, "id-1"))
        {
            INFO(answer);
            forward_fixture fixture{1};
            scripted_upstream& engine = *fixture.upstreams.back();
            state::member_key const key = state::key_of(engine.make_member("engine", 1));
            std::optional<state::result<transport::fetch_answer>> arrived;
            fixture.core.orders.send(key, {"POST", "/v1/kv-move", "{}"}, 1s,
                                     [&](auto const& each) { arrived = each; });
            fixture.run_until([&] { return !engine.connections_with("kv-move").empty(); });
            engine.connections_with("kv-move").front()->send(answer);
            engine.connections_with("kv-move").front()->close();
            fixture.run_until([&] { return arrived.has_value(); });
            CHECK_FALSE(*arrived);
        }
    }
}
