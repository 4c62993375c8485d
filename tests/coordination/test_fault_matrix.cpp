#include "faults/cell.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

using namespace plumdale;
using namespace plumdale::faults;
using coordination::safeguard_set;

namespace
{

/// \brief Runs a cell until a seed violates a guarantee; returns the number of seeds that passed.
std::uint64_t seeds_before_failure(cell const& each, safeguard_set safeguards,
                                   std::uint64_t max_seeds)
{
    for (std::uint64_t seed = 1; seed <= max_seeds; ++seed)
    {
        if (!each.run(seed, safeguards).empty())
        {
            return seed - 1;
        }
    }
    return max_seeds;
}

void check_guards(std::vector<cell> const& cells, std::vector<guarded_cell> const& guards)
{
    constexpr std::uint64_t max_seeds = 400;
    for (guarded_cell const& each : guards)
    {
        CAPTURE(safeguard_name(each.guard), each.step, each.fault);
        auto const found =
            std::find_if(cells.begin(), cells.end(),
                         [&](cell const& candidate)
                         { return candidate.step == each.step && candidate.fault == each.fault; });
        REQUIRE(found != cells.end());
        std::uint64_t const passed =
            seeds_before_failure(*found, safeguard_set{}.without(each.guard), max_seeds);
        CHECK(passed < max_seeds);
        CHECK(seeds_before_failure(*found, {}, std::min(passed + 1, max_seeds)) ==
              std::min(passed + 1, max_seeds));
    }
}

} // namespace

// Each safeguard prevents a failure that callers see: a duplicate run, a lost draft, a false "not
// run", another caller's tokens, silence. With the safeguard off, its cell fails at some seed; with
// all safeguards on, the same seeds pass.
TEST_CASE("each safeguard of requests has a cell that fails without it", "[fault_matrix]")
{
    std::vector<cell> cells = request_cells();
    std::vector<cell> pairs = request_pair_cells();
    std::move(pairs.begin(), pairs.end(), std::back_inserter(cells));
    check_guards(cells, request_guards());
}

TEST_CASE("each safeguard of control has a cell that fails without it", "[fault_matrix]")
{
    check_guards(control_cells(), control_guards());
}

TEST_CASE("every safeguard has a cell that fails without it", "[fault_matrix]")
{
    std::vector<guarded_cell> guards = request_guards();
    std::vector<guarded_cell> const of_control = control_guards();
    guards.insert(guards.end(), of_control.begin(), of_control.end());
    for (std::size_t i = 0; i < coordination::safeguard_count; ++i)
    {
        auto const which = static_cast<coordination::safeguard>(i);
        CAPTURE(safeguard_name(which));
        CHECK(std::any_of(guards.begin(), guards.end(),
                          [which](guarded_cell const& each) { return each.guard == which; }));
    }
}
