#include <plumdale/coordination/route_outcomes.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale::coordination;

TEST_CASE("calls that are not on time use a route's error budget", "[route_outcomes]")
{
    route_outcomes outcomes;
    for (int i = 0; i < 96; ++i)
    {
        outcomes.note("lists", call_outcome::on_time);
    }
    outcomes.note("lists", call_outcome::late);
    outcomes.note("lists", call_outcome::refused);
    outcomes.note("lists", call_outcome::failed);
    outcomes.note("lists", call_outcome::failed);
    outcomes.note("lists", call_outcome::caller_disconnected);
    outcome_counts const& counts = outcomes.rows().at("lists");
    CHECK(counted_calls(counts) == 100);
    CHECK(error_budget_used(counts, 0.98) == Approx(2.0));
    CHECK(error_budget_used(counts, 0.96) == Approx(1.0));
}

TEST_CASE("a route without calls has used no error budget", "[route_outcomes]")
{
    CHECK(error_budget_used({}, 0.99) == 0.0);
    CHECK(error_budget_used({5, 5, 0, 0, 0}, 1.0) == 0.0);
}

// Frequent new configurations add route names for hours; guards against unbounded memory.
TEST_CASE("the number of counted routes is bounded", "[route_outcomes]")
{
    route_outcomes outcomes;
    for (std::size_t i = 0; i < 3 * route_outcomes::max_routes; ++i)
    {
        outcomes.note("r-" + std::to_string(i), call_outcome::on_time);
        REQUIRE(outcomes.rows().size() <= route_outcomes::max_routes);
    }
}
