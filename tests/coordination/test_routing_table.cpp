#include <plumdale/coordination/routing_table.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using coordination::routing_table;

namespace
{

state::route route_at(std::string host, std::string prefix)
{
    state::route route;
    route.name = prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    return route;
}

} // namespace

TEST_CASE("the longest prefix of the host that begins the path is chosen", "[routing_table]")
{
    state::routing_configuration configuration;
    configuration.routes = {route_at("a.example", "/lists/"), route_at("a.example", "/lists/week/"),
                            route_at("b.example", "/")};
    routing_table const table{configuration};

    CHECK(table.find_route("a.example", "/lists/week/42")->prefix == "/lists/week/");
    CHECK(table.find_route("a.example", "/lists/month")->prefix == "/lists/");
    CHECK(table.find_route("b.example", "/lists/week/42")->prefix == "/");
    // A prefix ends with a slash: the path without it is another path.
    CHECK(table.find_route("a.example", "/lists") == nullptr);
    CHECK(table.find_route("c.example", "/lists/") == nullptr);
}

TEST_CASE("a key belongs to the customer that holds it in this version", "[routing_table]")
{
    state::routing_configuration configuration;
    configuration.customers = {{"first", {"key-1", "key-2"}, std::nullopt},
                               {"second", {"key-3"}, 4}};
    routing_table const table{configuration};

    CHECK(table.find_customer("key-2")->name == "first");
    CHECK(table.find_customer("key-3")->name == "second");
    CHECK(table.find_customer("key-4") == nullptr);
    CHECK(table.find_customer("") == nullptr);
}

TEST_CASE("a route's calls are distributed by the weights of its services", "[routing_table]")
{
    state::route route;
    route.services = {{"old", 90.0}, {"new", 10.0}, {"none", 0.0}};

    CHECK(routing_table::service_of(route, 0.0) == "old");
    CHECK(routing_table::service_of(route, 0.89) == "old");
    CHECK(routing_table::service_of(route, 0.91) == "new");
    CHECK(routing_table::service_of(route, 0.999) == "new");
}
