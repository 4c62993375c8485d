#include <plumdale/coordination/retry_detector.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace plumdale;
using coordination::retry_detector;
using namespace std::chrono_literals;

// A caller that was refused comes back with less time. Were it taken for a fresh one, it would be
// refused a second time, for good, as soon as its answer can't be on time any more.
TEST_CASE("calls with clearly less time than usual have waited before", "[usual_patience]")
{
    retry_detector detector;
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(detector.detect(39s));
    }
    CHECK(detector.detect(33s));
    CHECK_FALSE(detector.detect(39s));
}

// One caller in 25 waits three times as long. Measured against the longest, all others would be
// taken for returning ones and wait behind fresh calls that there are none of.
TEST_CASE("a few callers that wait longer don't make the others look late",
          "[usual_patience][load]")
{
    retry_detector detector;
    for (int i = 0; i < 500; ++i)
    {
        bool const is_patient = i % 25 == 3;
        CHECK_FALSE(detector.detect(is_patient ? 18s : 6s));
    }
}

// Load pattern: budgets of 33.2 to 39 s, as callers of one route have them, one in 25 of three
// times that, and at most a third of all calls coming back after the shortest time that refused
// callers are told. A fresh call taken for a returning one yields to all others and is refused:
// with a bound of 0.95 of the median one in five was, on a calm day.
TEST_CASE("callers with less patience are not taken for returning ones", "[usual_patience][load]")
{
    retry_detector detector;
    std::mt19937 random{3};
    std::uniform_real_distribution<double> share{0.85, 1.0};
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    int fresh = 0;
    int mistaken = 0;
    int returning = 0;
    int recognized = 0;
    for (int i = 0; i < 4'000; ++i)
    {
        double const whole = 39.0 * share(random) * (draw(random) < 0.04 ? 3.0 : 1.0);
        bool const is_retry = draw(random) < 0.3;
        // Refused after 0.8 s, told to come back after 0.15 to 0.32 of what was left.
        double const left = is_retry ? (whole - 0.8) * (1.0 - 0.15 - 0.17 * draw(random)) : whole;
        bool const noted = detector.detect(
            std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{left}));
        fresh += is_retry ? 0 : 1;
        mistaken += !is_retry && noted ? 1 : 0;
        returning += is_retry ? 1 : 0;
        recognized += is_retry && noted ? 1 : 0;
    }
    INFO(mistaken << " of " << fresh << " fresh mistaken, " << recognized << " of " << returning
                  << " returning recognized");
    CHECK(100 * mistaken <= 4 * fresh);
    CHECK(100 * recognized >= 85 * returning);
}
