#include <plumdale/coordination/finished_generations.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

TEST_CASE("ended generations are bounded in number, age and text", "[finished_generations]")
{
    finished_generations generations{10min, 3, 10};
    auto const text = std::make_shared<std::string const>("12345678");
    state::time_point const start{1h};
    generations.remember(1, {{7}, {1}, 5, state::work_kind::call, true, true, text}, start);
    generations.remember(2, {{7}, {1}, 5, state::work_kind::call, true, true, text}, start);
    REQUIRE(generations.find(1) != nullptr);
    CHECK(generations.find(1)->text == text);
    CHECK(generations.find(2)->text == nullptr);

    generations.remember(3, {}, start);
    generations.remember(4, {}, start);
    CHECK(generations.find(1) == nullptr);
    CHECK(generations.size() == 3);
    generations.remember(5, {{7}, {1}, 5, state::work_kind::call, true, true, text}, start + 11min);
    CHECK(generations.size() == 1);
    CHECK(generations.find(5)->text == text);
}
