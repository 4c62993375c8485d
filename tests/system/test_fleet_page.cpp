#include "programs/plumctl/fleet_page.hpp"

#include <catch2/catch.hpp>

using namespace plumdale::plumctl;

namespace
{

constexpr std::size_t fleet_size = 295;

entry_standing entry(std::size_t number)
{
    entry_standing standing;
    standing.name = "vm-" + std::to_string(number);
    standing.zone = number % 2 == 0 ? "a" : "b";
    standing.is_ready = true;
    standing.reads_store = number < 2;
    standing.configuration = 31;
    standing.directory = "77";
    standing.platform_age_ms = 400;
    standing.calls = 2;
    return standing;
}

std::vector<entry_standing> fleet()
{
    std::vector<entry_standing> entries;
    for (std::size_t number = 0; number < fleet_size; ++number)
    {
        entries.push_back(entry(number));
    }
    return entries;
}

} // namespace

TEST_CASE("a fleet of hundreds is a row for each zone", "[fleet_page]")
{
    auto const rows = zones_of(fleet());
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].zone == "a");
    CHECK(rows[0].entries == 148);
    CHECK(rows[0].current == 148);
    CHECK(rows[0].agreeing == 148);
    CHECK(rows[0].readers == 1);
    CHECK(rows[1].entries == 147);
    CHECK(rows[1].calls == 294);
    CHECK(lagging(fleet(), 10).empty());
}

// An operator's new configuration is in force at all VMs but two; one of these is not ready either.
TEST_CASE("those that lag are named, worst first", "[fleet_page]")
{
    std::vector<entry_standing> entries = fleet();
    entries[40].configuration = 29;
    entries[41].configuration = 30;
    entries[41].is_ready = false;
    entries[42].directory = "78";
    auto const found = lagging(entries, 10);
    REQUIRE(found.size() == 3);
    CHECK(found[0].name == "vm-41");
    CHECK(found[1].name == "vm-40");
    CHECK(found[2].name == "vm-42");
    CHECK(lagging(entries, 1).size() == 1);
    auto const rows = zones_of(entries);
    CHECK(rows[0].current == 147);
    CHECK(rows[0].agreeing == 147);
    CHECK(rows[1].ready == 146);
}

TEST_CASE("no entry VM is no row", "[fleet_page]")
{
    CHECK(zones_of({}).empty());
    CHECK(lagging({}, 10).empty());
}
