#include <plumdale/coordination/safeguards.hpp>

#include <catch2/catch.hpp>

using namespace plumdale::coordination;

TEST_CASE("all safeguards are on, and one can be turned off alone", "[safeguards]")
{
    for (std::size_t i = 0; i < safeguard_count; ++i)
    {
        auto const which = static_cast<safeguard>(i);
        CHECK(safeguard_from_name(safeguard_name(which)) == which);
        safeguard_set const without = safeguard_set{}.without(which);
        for (std::size_t j = 0; j < safeguard_count; ++j)
        {
            CHECK(safeguard_set{}.has(static_cast<safeguard>(j)));
            CHECK(without.has(static_cast<safeguard>(j)) == (i != j));
        }
    }
    CHECK(safeguard_from_name("no such name") == safeguard::count);
}
