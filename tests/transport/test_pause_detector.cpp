#include <catch2/catch.hpp>

#include <transport/pause_detector.hpp>

using namespace plumdale;
using namespace std::chrono_literals;
using transport::pause_detector;

namespace
{

constexpr state::time_point start{100s};

} // namespace

TEST_CASE("a process that runs in time sees no gap")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 1s, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 1900ms, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 2s, 5s, state::never) == 0s);
}

// The VM is suspended for a minute: its monotonic clock stands still meanwhile, so no timer is
// late. Only the clock that counts suspension tells; told once, it is not told again.
TEST_CASE("a suspended VM is noticed by its clocks")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start, 65s, start + 1s) == 60s);
    CHECK(detector.pause_length(start, 65s, start + 1s) == 0s);
}

// The process is stopped (SIGSTOP) while its clocks go on: a timer that was set for a moment long
// past is the only trace, and is seen by whatever event comes first.
TEST_CASE("a stopped process is noticed by its late timer")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start + 10s, 5s, start) == 10s);
}
