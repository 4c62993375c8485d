#include "programs/plumctl/fleet_summary.hpp"

#include <catch2/catch.hpp>

using namespace plumdale::plumctl;

namespace
{

constexpr std::size_t fleet_size = 295;

entry_status entry(std::size_t number)
{
    entry_status status;
    status.name = "vm-" + std::to_string(number);
    status.zone = number % 2 == 0 ? "a" : "b";
    status.is_ready = true;
    status.is_active_reader = number < 2;
    status.configuration = 31;
    status.directory_digest = "77";
    status.platform_age_ms = 400;
    status.calls = 2;
    return status;
}

std::vector<entry_status> fleet()
{
    std::vector<entry_status> entries;
    for (std::size_t number = 0; number < fleet_size; ++number)
    {
        entries.push_back(entry(number));
    }
    return entries;
}

} // namespace

TEST_CASE("a fleet of hundreds is summarized in one row per zone", "[fleet_summary]")
{
    auto const rows = summarize_zones(fleet());
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].zone == "a");
    CHECK(rows[0].entry_count == 148);
    CHECK(rows[0].on_newest_configuration == 148);
    CHECK(rows[0].on_majority_directory == 148);
    CHECK(rows[0].readers == 1);
    CHECK(rows[1].entry_count == 147);
    CHECK(rows[1].calls == 294);
    CHECK(lagging_entries(fleet(), 10).empty());
}

// Two VMs lack the new configuration, one of them is also not ready, and a third has a deviating
// directory. The one that is not ready must come first, the deviating directory last.
TEST_CASE("lagging entry VMs are listed, worst first", "[fleet_summary]")
{
    std::vector<entry_status> entries = fleet();
    entries[40].configuration = 29;
    entries[41].configuration = 30;
    entries[41].is_ready = false;
    entries[42].directory_digest = "78";
    auto const found = lagging_entries(entries, 10);
    REQUIRE(found.size() == 3);
    CHECK(found[0].name == "vm-41");
    CHECK(found[1].name == "vm-40");
    CHECK(found[2].name == "vm-42");
    CHECK(lagging_entries(entries, 1).size() == 1);
    auto const rows = summarize_zones(entries);
    CHECK(rows[0].on_newest_configuration == 147);
    CHECK(rows[0].on_majority_directory == 147);
    CHECK(rows[1].ready == 146);
}

TEST_CASE("a fleet without entry VMs has no rows", "[fleet_summary]")
{
    CHECK(summarize_zones({}).empty());
    CHECK(lagging_entries({}, 10).empty());
}
