#include <plumdale/coordination/retry_detector.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace plumdale;
using coordination::retry_detector;
using namespace std::chrono_literals;

// Guards against refusing a caller a second time, which is final. A retry has less time left; taken
// for a first attempt, it would be refused as soon as its answer can't be on time any more.
TEST_CASE("calls with clearly less time than usual are retries", "[retry_detector]")
{
    retry_detector detector;
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(detector.detect(39s));
    }
    CHECK(detector.detect(33s));
    CHECK_FALSE(detector.detect(39s));
}

// Guards against comparing calls with the longest budget: one caller in 25 waits three times as
// long, and all others would be taken for retries and yield to first attempts that don't exist.
TEST_CASE("a few callers that wait longer don't make the others look late",
          "[retry_detector][load]")
{
    retry_detector detector;
    for (int i = 0; i < 500; ++i)
    {
        bool const has_long_budget = i % 25 == 3;
        CHECK_FALSE(detector.detect(has_long_budget ? 18s : 6s));
    }
}

// Load pattern: budgets of 33.2 to 39 s, as of callers of one route, one in 25 with three times
// that, and at most a third of all calls retries with the delays that refused callers are given.
// Guards against taking first attempts for retries, which yield and are refused: a threshold of
// 0.95 of the median classified one in five as a retry even without overload.
TEST_CASE("callers with smaller budgets are not taken for retries", "[retry_detector][load]")
{
    retry_detector detector;
    std::mt19937 random{3};
    std::uniform_real_distribution<double> share{0.85, 1.0};
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    int first_attempts = 0;
    int mistaken = 0;
    int retries = 0;
    int recognized = 0;
    for (int i = 0; i < 4'000; ++i)
    {
        double const budget = 39.0 * share(random) * (draw(random) < 0.04 ? 3.0 : 1.0);
        bool const is_retry = draw(random) < 0.3;
        // Refused after 0.8 s, with a retry delay of 0.15 to 0.32 of the time left.
        double const left = is_retry ? (budget - 0.8) * (1.0 - 0.15 - 0.17 * draw(random)) : budget;
        bool const detected = detector.detect(
            std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{left}));
        first_attempts += is_retry ? 0 : 1;
        mistaken += !is_retry && detected ? 1 : 0;
        retries += is_retry ? 1 : 0;
        recognized += is_retry && detected ? 1 : 0;
    }
    INFO(mistaken << " of " << first_attempts << " first attempts mistaken, " << recognized
                  << " of " << retries << " retries recognized");
    CHECK(100 * mistaken <= 4 * first_attempts);
    CHECK(100 * recognized >= 85 * retries);
}
