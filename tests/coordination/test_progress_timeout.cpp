#include <plumdale/coordination/progress_timeout.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

TEST_CASE("the timeout follows the gaps of the stream within its bounds", "[progress_timeout]")
{
    progress_timeout_bounds const bounds{30s, 300ms, 3s};
    progress_timeout gaps;
    CHECK(gaps.timeout(bounds) == 30s);
    state::time_point now{};
    gaps.token(now);
    CHECK(gaps.timeout(bounds) == 3s);

    for (int i = 0; i < 100; ++i)
    {
        gaps.token(now += 20ms);
    }
    CHECK(gaps.timeout(bounds) == 300ms);

    for (int i = 0; i < 100; ++i)
    {
        gaps.token(now += i % 2 == 0 ? 50ms : 250ms);
    }
    CHECK(gaps.timeout(bounds) > 600ms);
    CHECK(gaps.timeout(bounds) < 1200ms);

    gaps.restart();
    gaps.token(now += 1h);
    CHECK(gaps.timeout(bounds) < 1200ms);
}
