#include "forward_fixture.hpp"
#include "mutation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto own_zone = state::id_from_name<state::zone_id>("a");
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

state::evacuations order(std::uint64_t revision)
{
    return {revision, {{own_zone, revision}}};
}

void add_other_zone_upstream(forward_fixture& fixture, std::string_view service)
{
    fixture.upstreams.push_back(std::make_unique<scripted_upstream>(fixture.context, "far", "b"));
    std::vector<state::service_member> const updates{
        fixture.upstreams.back()->make_member(std::string{service}, 2)};
    fixture.core.apply_members(updates, "test");
}

} // namespace

// -- orders read from the store -------------------------------------------------------------------

// The operators' client may write any value for an order, or none.
TEST_CASE("an order with an unreadable value is still an order", "[evacuation]")
{
    platform::platform_dialect const dialect;
    auto const page = dialect.read_page(
        R"({"items":[{"key":"op/evacuate/east","value":"%%%","revision":7},)"
        R"({"key":"op/evacuate/west","revision":9},{"key":"op/evacuate/","revision":10}],)"
        R"("hasMore":false,"atRev":12})");
    REQUIRE(page);
    REQUIRE(page.value().orders.size() == 2);
    CHECK(page.value().orders[0].zone == "east");
    CHECK(page.value().orders[1].change.order.revision == 9);
    CHECK_FALSE(page.value().orders[1].change.revoked);
    CHECK(page.value().newest_revision == 10);
    CHECK(page.value().unusable.size() == 1);
}

TEST_CASE("a deleted key revokes an order", "[evacuation]")
{
    platform::platform_dialect const dialect;
    auto const page = dialect.read_changes(
        R"({"events":[{"key":"op/evacuate/east","revision":8,"deleted":true}],"atRev":8})");
    REQUIRE(page);
    REQUIRE(page.value().orders.size() == 1);
    CHECK(page.value().orders[0].change.revoked);
}

// Pages with bytes changed, dropped or repeated: decoding doesn't throw, and no order is for a zone
// without a name.
TEST_CASE("randomly damaged orders and cold times never yield invalid values",
          "[evacuation][seeds]")
{
    platform::platform_dialect const dialect;
    std::string const page =
        R"({"items":[{"key":"op/config","value":"e30=","revision":3},)"
        R"({"key":"op/evacuate/east","value":"","revision":7}],"hasMore":false,"atRev":12})";
    std::string const configuration =
        R"({"version":7,"services":[{"name":"s","coldPerS":35,"coldStartS":1.5}]})";
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
    {
        if (auto const read = dialect.read_page(mutate(page, seed)))
        {
            for (protocol::evacuation_order const& each : read.value().orders)
            {
                CHECK_FALSE(each.zone.empty());
            }
        }
        auto const read = dialect.decode_configuration(mutate(configuration, seed));
        if (read && !read.value().services.empty() && read.value().services[0].cold)
        {
            CHECK(read.value().services[0].cold->requests_per_second > 0.0);
            CHECK(read.value().services[0].cold->time >= 0s);
        }
        protocol::message_head head;
        head.status = 200;
        head.fields = {{"Plumdale-Cold-Ms", mutate("700", seed)}};
        CHECK(dialect.read_answer(head).statement.cold_for.value_or(0s) >= 0s);
    }
}

// -- effects of an order --------------------------------------------------------------------------

// Guards against the reuse of a connection that is kept open to an upstream in an evacuated zone.
TEST_CASE("a call goes to another zone once the VM's own zone is evacuated", "[evacuation]")
{
    forward_fixture fixture;
    add_other_zone_upstream(fixture, "plain");
    auto const first = fixture.call("/fetch/1", "id-1");
    fixture.upstream_connection("id-1")->send(
        answer_text(200, "id-1", "body", "Plumdale-Response-Seal: s\r\n"));
    fixture.run_until([&] { return first->received.find("body") != std::string::npos; });
    fixture.core.apply_evacuations(order(5), "test");
    auto const second = fixture.call("/fetch/2", "id-2");
    CHECK(&fixture.upstream_of("id-2") == fixture.upstreams.back().get());
}

TEST_CASE("a call is refused at once as not run when all zones are evacuated", "[evacuation][load]")
{
    forward_fixture fixture;
    fixture.core.apply_evacuations(order(5), "test");
    auto const began = std::chrono::steady_clock::now();
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    fixture.run_until([&] { return caller->received.find("503") != std::string::npos; });
    CHECK(caller->received.find("Retry-After") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - began < 150ms);
    CHECK(fixture.request_count("id-1") == 0);
}

// Guards against a request sent after the order to an upstream that was chosen before it.
TEST_CASE("nothing leaves for a zone that was evacuated while the call connected", "[evacuation]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/event/1", "id-1");
    fixture.run_until([&] { return fixture.core.calls_in_progress == 1; });
    fixture.core.apply_evacuations(order(5), "test");
    fixture.run_until([&] { return caller->received.find("503") != std::string::npos; });
    CHECK(fixture.request_count("id-1") == 0);
}

TEST_CASE("a running draft continues in an evacuated zone", "[evacuation]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    auto const upstream_connection = fixture.upstream_connection("Plumdale-Request-Id: id-1");
    upstream_connection->send(stream_head("id-1"));
    upstream_connection->send(event_chunk(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    fixture.core.apply_evacuations(order(5), "test");
    upstream_connection->send(event_chunk(2));
    upstream_connection->send("0\r\n\r\n");
    fixture.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    CHECK(caller->received.find("data: e2\n") != std::string::npos);
}

// The upstream fails after the order: to resume, a new request would have to enter the zone.
TEST_CASE("a draft does not resume from a backup in an evacuated zone", "[evacuation]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    auto const upstream_connection = fixture.upstream_connection("Plumdale-Request-Id: id-1");
    REQUIRE(upstream_connection->received.find("Plumdale-Kv-Backup: ") != std::string::npos);
    upstream_connection->send(stream_head("id-1"));
    upstream_connection->send(event_chunk(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    fixture.core.apply_evacuations(order(5), "test");
    upstream_connection->reset();
    fixture.run_until([&] { return caller->ended; });
    CHECK(fixture.request_count("Kv-From") == 0);
    CHECK_FALSE(caller->received.ends_with("0\r\n\r\n"));
}

TEST_CASE("calls go to a zone again when its order is revoked", "[evacuation]")
{
    forward_fixture fixture;
    fixture.core.apply_evacuations(order(5), "test");
    fixture.core.apply_evacuations({6, {}}, "test");
    auto const caller = fixture.call("/fetch/1", "id-1");
    fixture.upstream_connection("id-1")->send(
        answer_text(200, "id-1", "body", "Plumdale-Response-Seal: s\r\n"));
    fixture.run_until([&] { return caller->received.find("200 ") != std::string::npos; });
}

// Guards against a draft that ends with its upstream: the upstream leaves after the order, and
// nothing is copied when the backup in the evacuated zone still counts as one.
TEST_CASE("a draft whose backup is in an evacuated zone is copied away when its upstream leaves",
          "[evacuation]")
{
    forward_fixture fixture;
    auto const caller = fixture.call("/draft/1", "id-1", draft_fields);
    scripted_upstream& source = fixture.upstream_of("Plumdale-Request-Id: id-1");
    auto const upstream_connection = source.connections_with("Plumdale-Request-Id: id-1").front();
    REQUIRE(upstream_connection->received.find("Plumdale-Kv-Backup: ") != std::string::npos);
    upstream_connection->send(stream_head("id-1"));
    upstream_connection->send(event_chunk(1));
    fixture.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    add_other_zone_upstream(fixture, "engine");
    fixture.core.apply_evacuations(order(5), "test");
    state::service_member leaving = source.make_member("engine", 6);
    leaving.leaving = true;
    std::vector<state::service_member> const updates{leaving};
    fixture.core.apply_members(updates, "test");
    fixture.run_until([&] { return fixture.request_count("/v1/kv-move") == 1; });
}
