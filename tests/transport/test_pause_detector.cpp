#include <catch2/catch.hpp>

#include <transport/pause_detector.hpp>

using namespace plumdale;
using namespace std::chrono_literals;
using transport::pause_detector;

namespace
{

constexpr state::time_point start{100s};

} // namespace

TEST_CASE("a process that runs on time reports no pause")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 1s, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 1900ms, 5s, start + 1s) == 0s);
    CHECK(detector.pause_length(start + 2s, 5s, state::never) == 0s);
}

// The VM is suspended for a minute: its monotonic clock stands still meanwhile, so no timer is
// late. Only the clock that counts suspension shows the pause, which must be reported once.
TEST_CASE("a suspension of the VM is detected by its clocks")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start, 65s, start + 1s) == 60s);
    CHECK(detector.pause_length(start, 65s, start + 1s) == 0s);
}

// The process is stopped (SIGSTOP) while its clocks go on. Only an overdue timer shows the pause,
// which must be detected at the first event, whatever it is.
TEST_CASE("a stop of the process is detected by its late timer")
{
    pause_detector detector{1s, 5s};
    CHECK(detector.pause_length(start + 10s, 5s, start) == 10s);
}
