#include <catch2/catch.hpp>

#include <string>
#include <transport/fleet_traffic.hpp>

using namespace plumdale;
using transport::fleet_traffic;
using transport::kind_of;
using transport::message_kind;

TEST_CASE("what VMs exchange is counted by kind and direction", "[fleet_traffic]")
{
    fleet_traffic traffic;
    traffic.add_sent(message_kind::load, 117);
    traffic.add_sent(message_kind::load, 120);
    traffic.add_received(message_kind::directory, 5'000);
    CHECK(traffic.bytes_sent(message_kind::load) == 237);
    CHECK(traffic.bytes_received(message_kind::load) == 0);
    std::string const page = traffic.text();
    auto const has = [&page](std::string_view line)
    {
        return page.find(line) != std::string::npos;
    };
    CHECK(has("plumdale_forward_fleet_messages_total{kind=\"load\",direction=\"sent\"} 2\n"));
    CHECK(has("plumdale_forward_fleet_bytes_total{kind=\"load\",direction=\"sent\"} 237\n"));
    CHECK(has(
        "plumdale_forward_fleet_bytes_total{kind=\"directory\",direction=\"received\"} 5000\n"));
    CHECK(traffic.summary().find("load 237/0") != std::string::npos);
}

TEST_CASE("an update is of the kind of its rows", "[fleet_traffic]")
{
    coordination::fleet_update update;
    CHECK(kind_of(update) == message_kind::status);
    update.loads.resize(1);
    CHECK(kind_of(update) == message_kind::load);
    update.whole = true;
    CHECK(kind_of(update) == message_kind::status);
    update.members.resize(1);
    CHECK(kind_of(update) == message_kind::upstreams);
    update.limits.resize(1);
    CHECK(kind_of(update) == message_kind::limits);
    update.evidence.resize(1);
    CHECK(kind_of(update) == message_kind::evidence);
}
