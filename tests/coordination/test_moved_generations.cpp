#include "moved_generation.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

// Guards against callers who lose a generation that was stopped by an order, while they have time
// and its memory is held; against two runs of one; and against memory that is asked for under
// another upstream's name.
TEST_CASE("no stopped generation is cut while its caller has time and its memory is held",
          "[moved_generations][seeds]")
{
    constexpr auto longest_idle = 2'100ms;
    std::size_t stops = 0;
    std::size_t resumptions = 0;
    std::size_t cuts = 0;
    std::size_t times_over = 0;
    for (std::uint32_t seed = 1; seed <= 10'000; ++seed)
    {
        CAPTURE(seed);
        moved_generation played{seed};
        played.play();
        REQUIRE(played.result() != moved_generation::outcome::cut_unduly);
        REQUIRE(played.most_runs() <= 1);
        REQUIRE(played.wrong_holders() == 0);
        REQUIRE(played.longest_idle() <= longest_idle);
        stops += played.stops();
        resumptions += played.resumptions();
        cuts += played.result() == moved_generation::outcome::cut ? 1 : 0;
        times_over += played.result() == moved_generation::outcome::time_over ? 1 : 0;
    }
    CAPTURE(stops, resumptions, cuts, times_over);
    CHECK(stops > 5'000);
    CHECK(resumptions > 5'000);
    // Those whose places left, or whose handle nobody was told.
    CHECK(cuts + times_over < stops / 100);
}
