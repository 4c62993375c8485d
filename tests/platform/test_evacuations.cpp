#include "forward_scene.hpp"
#include "mutation.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto own_zone = state::named<state::zone_id>("a");
constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

state::evacuations order(std::uint64_t revision)
{
    return {revision, {{own_zone, revision}}};
}

void add_far_upstream(forward_scene& scene, std::string_view service)
{
    scene.upstreams.push_back(std::make_unique<script_upstream>(scene.context, "far", "b"));
    std::vector<state::service_member> const news{
        scene.upstreams.back()->listing(std::string{service}, 2)};
    scene.core.take_members(news, "test");
}

} // namespace

// -- what the store tells -------------------------------------------------------------------------

// The operators' client may write anything, or nothing, as the value of an order.
TEST_CASE("an order whose value can't be read is an order all the same", "[evacuation]")
{
    platform::platform_dialect const words;
    auto const page = words.read_list(
        R"({"items":[{"key":"op/evacuate/east","value":"%%%","revision":7},)"
        R"({"key":"op/evacuate/west","revision":9},{"key":"op/evacuate/","revision":10}],)"
        R"("hasMore":false,"atRev":12})");
    REQUIRE(page);
    REQUIRE(page.value().orders.size() == 2);
    CHECK(page.value().orders[0].zone == "east");
    CHECK(page.value().orders[1].change.order.revision == 9);
    CHECK_FALSE(page.value().orders[1].change.taken_back);
    CHECK(page.value().newest == 10);
    CHECK(page.value().unusable.size() == 1);
}

TEST_CASE("a deleted key takes an order back", "[evacuation]")
{
    platform::platform_dialect const words;
    auto const page = words.read_changes(
        R"({"events":[{"key":"op/evacuate/east","revision":8,"deleted":true}],"atRev":8})");
    REQUIRE(page);
    REQUIRE(page.value().orders.size() == 1);
    CHECK(page.value().orders[0].change.taken_back);
}

// A page of orders with bytes of it changed, dropped or doubled: nothing is thrown, and no order is
// for a zone without a name.
TEST_CASE("seeded damage to orders and cold times is refused or read whole", "[evacuation][seeds]")
{
    platform::platform_dialect const words;
    std::string const page =
        R"({"items":[{"key":"op/config","value":"e30=","revision":3},)"
        R"({"key":"op/evacuate/east","value":"","revision":7}],"hasMore":false,"atRev":12})";
    std::string const configuration =
        R"({"version":7,"services":[{"name":"s","coldPerS":35,"coldStartS":1.5}]})";
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
    {
        if (auto const read = words.read_list(mutate(page, seed)))
        {
            for (protocol::zone_order const& each : read.value().orders)
            {
                CHECK_FALSE(each.zone.empty());
            }
        }
        auto const read = words.decode_configuration(mutate(configuration, seed));
        if (read && !read.value().services.empty() && read.value().services[0].cold)
        {
            CHECK(read.value().services[0].cold->requests_per_second > 0.0);
            CHECK(read.value().services[0].cold->time >= 0s);
        }
        protocol::message_head head;
        head.status = 200;
        head.fields = {{"Plumdale-Cold-Ms", mutate("700", seed)}};
        CHECK(words.read_answer(head).cold_for.value_or(0s) >= 0s);
    }
}

// -- what obeys it --------------------------------------------------------------------------------

// A connection was kept at an upstream whose zone is evacuated meanwhile.
TEST_CASE("a call goes to another zone once the own one is evacuated", "[evacuation]")
{
    forward_scene scene;
    add_far_upstream(scene, "plain");
    auto const first = scene.call("/fetch/1", "id-1");
    scene.sent("id-1")->send(answer_text(200, "id-1", "body", "Plumdale-Response-Seal: s\r\n"));
    scene.run_until([&] { return first->received.find("body") != std::string::npos; });
    scene.core.take_evacuations(order(5), "test");
    auto const second = scene.call("/fetch/2", "id-2");
    CHECK(&scene.upstream_of("id-2") == scene.upstreams.back().get());
}

TEST_CASE("a call is refused at once as not run when all zones are evacuated", "[evacuation][load]")
{
    forward_scene scene;
    scene.core.take_evacuations(order(5), "test");
    auto const began = std::chrono::steady_clock::now();
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    scene.run_until([&] { return caller->received.find("503") != std::string::npos; });
    CHECK(caller->received.find("Retry-After") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - began < 150ms);
    CHECK(scene.sends("id-1") == 0);
}

// The upstream was chosen before the order came, and the bytes are to leave after it.
TEST_CASE("nothing leaves for a zone that was evacuated while the call connected", "[evacuation]")
{
    forward_scene scene;
    auto const caller = scene.call("/event/1", "id-1");
    scene.run_until([&] { return scene.core.calls_in_progress == 1; });
    scene.core.take_evacuations(order(5), "test");
    scene.run_until([&] { return caller->received.find("503") != std::string::npos; });
    CHECK(scene.sends("id-1") == 0);
}

TEST_CASE("a draft runs on in an evacuated zone", "[evacuation]")
{
    forward_scene scene;
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    auto const sent = scene.sent("Plumdale-Request-Id: id-1");
    sent->send(stream_head("id-1"));
    sent->send(event_chunk(1));
    scene.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    scene.core.take_evacuations(order(5), "test");
    sent->send(event_chunk(2));
    sent->send("0\r\n\r\n");
    scene.run_until([&] { return caller->received.ends_with("0\r\n\r\n"); });
    CHECK(caller->received.find("data: e2\n") != std::string::npos);
}

// Its upstream breaks off after the order: to go on, a request would have to reach the zone.
TEST_CASE("a draft does not go on from a backup in an evacuated zone", "[evacuation]")
{
    forward_scene scene;
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    auto const sent = scene.sent("Plumdale-Request-Id: id-1");
    REQUIRE(sent->received.find("Plumdale-Kv-Backup: ") != std::string::npos);
    sent->send(stream_head("id-1"));
    sent->send(event_chunk(1));
    scene.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    scene.core.take_evacuations(order(5), "test");
    sent->reset();
    scene.run_until([&] { return caller->ended; });
    CHECK(scene.sends("Kv-From") == 0);
    CHECK_FALSE(caller->received.ends_with("0\r\n\r\n"));
}

TEST_CASE("calls go to a zone again when its order is taken back", "[evacuation]")
{
    forward_scene scene;
    scene.core.take_evacuations(order(5), "test");
    scene.core.take_evacuations({6, {}}, "test");
    auto const caller = scene.call("/fetch/1", "id-1");
    scene.sent("id-1")->send(answer_text(200, "id-1", "body", "Plumdale-Response-Seal: s\r\n"));
    scene.run_until([&] { return caller->received.find("200 ") != std::string::npos; });
}

// Its upstream leaves after the order: were the backup still counted on, nothing would be copied,
// and the draft would end with its upstream.
TEST_CASE("a draft whose backup is in an evacuated zone is copied away when its upstream leaves",
          "[evacuation]")
{
    forward_scene scene;
    auto const caller = scene.call("/draft/1", "id-1", draft_fields);
    script_upstream& source = scene.upstream_of("Plumdale-Request-Id: id-1");
    auto const sent = source.connections_with("Plumdale-Request-Id: id-1").front();
    REQUIRE(sent->received.find("Plumdale-Kv-Backup: ") != std::string::npos);
    sent->send(stream_head("id-1"));
    sent->send(event_chunk(1));
    scene.run_until([&] { return caller->received.find("data: e1\n") != std::string::npos; });
    add_far_upstream(scene, "engine");
    scene.core.take_evacuations(order(5), "test");
    state::service_member leaving = source.listing("engine", 6);
    leaving.leaving = true;
    std::vector<state::service_member> const news{leaving};
    scene.core.take_members(news, "test");
    scene.run_until([&] { return scene.sends("/v1/kv-move") == 1; });
}
