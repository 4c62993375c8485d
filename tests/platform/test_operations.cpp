#include "forward_fixture.hpp"
#include "transport/operations_page.hpp"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";

boost::json::value page_of(forward_fixture const& fixture)
{
    return boost::json::parse(transport::status_page(fixture.core));
}

std::uint64_t outcomes(forward_fixture const& fixture, char const* outcome)
{
    std::uint64_t sum = 0;
    boost::json::value const page = page_of(fixture);
    for (boost::json::value const& row : page.at("outcomes").as_array())
    {
        sum += row.at(outcome).to_number<std::uint64_t>();
    }
    return sum;
}

} // namespace

TEST_CASE("the status page shows this VM, its routes and its upstreams", "[operations]")
{
    forward_fixture fixture;
    boost::json::value const page = page_of(fixture);
    CHECK(page.at("entry").at("configuration").to_number<int>() == 3);
    CHECK(page.at("entry").at("live_entry_vms").to_number<int>() == 1);
    CHECK(page.at("upstreams").as_array().size() == fixture.upstreams.size());
    CHECK(page.at("upstreams").as_array().front().at("takes_work").as_bool());
    CHECK_FALSE(page.at("routes").as_array().empty());
}

TEST_CASE("the status page shows whether each load part is on and why", "[operations]")
{
    forward_fixture fixture;
    boost::json::value const page = page_of(fixture);
    auto const& parts = page.at("entry").at("parts").as_array();
    REQUIRE(parts.size() == coordination::load_part_count);
    CHECK(parts.front().at("name").as_string() == "learned_speeds");
    CHECK_FALSE(parts.front().at("on").as_bool());
    CHECK(parts.front().at("because").as_string() == "the settings don't allow it");
    fixture.core.allow_parts({false, false, false, true});
    boost::json::value const reloaded = page_of(fixture);
    CHECK(reloaded.at("entry").at("parts").as_array().back().at("on").as_bool());
}

// When a zone is evacuated and one VM still sends there, the status pages show which VM it is.
TEST_CASE("the status page shows the orders in force and the upstreams that they exclude",
          "[operations]")
{
    forward_fixture fixture;
    fixture.core.apply_evacuations({8, {{state::id_from_name<state::zone_id>("a"), 5}}}, "test");
    boost::json::value const page = page_of(fixture);
    auto const& orders = page.at("entry").at("evacuations").as_array();
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().at("zone").as_string() == "a");
    CHECK(orders.front().at("revision").to_number<int>() == 5);
    CHECK(page.at("entry").at("evacuations_as_of").to_number<int>() == 8);
    CHECK(page.at("upstreams").as_array().front().at("evacuated").as_bool());
    CHECK_FALSE(page.at("upstreams").as_array().front().at("takes_work").as_bool());
}

// Operators copy the page into tickets and chats, so it must not contain a customer's key.
TEST_CASE("the status page holds no keys", "[operations]")
{
    forward_fixture fixture;
    for (state::customer_keys const& customer : fixture.core.routing->configuration().customers)
    {
        for (std::string const& key : customer.keys)
        {
            CHECK(transport::status_page(fixture.core).find(key) == std::string::npos);
        }
    }
}

TEST_CASE("calls are counted by how they ended for their callers", "[operations]")
{
    forward_fixture fixture;
    auto const served = fixture.call("/event/1", "id-1");
    fixture.upstream_connection("id-1")->send(answer_text(200, "id-1", "yes", signature_field));
    fixture.run_until([&] { return served->received.ends_with("yes"); });
    CHECK(outcomes(fixture, "on_time") == 1);

    // The upstream may have run the call, so it counts as a failure and not as a refusal.
    auto const doubtful = fixture.call("/event/2", "id-2");
    fixture.upstream_connection("id-2")->close();
    fixture.run_until([&] { return doubtful->received.find("502") != std::string::npos; });
    CHECK(outcomes(fixture, "failed") == 1);
    CHECK(outcomes(fixture, "refused") == 0);
}
