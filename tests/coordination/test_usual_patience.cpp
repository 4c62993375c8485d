#include <plumdale/coordination/usual_patience.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using coordination::usual_patience;
using namespace std::chrono_literals;

// A caller that was refused comes back with less time. Were it taken for a fresh one, it would be
// refused a second time, for good, as soon as its answer can't be on time any more.
TEST_CASE("calls with clearly less time than usual have waited before", "[usual_patience]")
{
    usual_patience patience;
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(patience.note(39s));
    }
    CHECK(patience.note(33s));
    CHECK_FALSE(patience.note(39s));
}

// One caller in 25 waits three times as long. Measured against the longest, all others would be
// taken for returning ones and wait behind fresh calls that there are none of.
TEST_CASE("a few callers that wait longer don't make the others look late",
          "[usual_patience][load]")
{
    usual_patience patience;
    for (int i = 0; i < 500; ++i)
    {
        bool const is_patient = i % 25 == 3;
        CHECK_FALSE(patience.note(is_patient ? 18s : 6s));
    }
}
