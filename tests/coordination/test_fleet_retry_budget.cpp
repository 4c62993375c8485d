#include <plumdale/coordination/fleet_retry_budget.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr fleet_retry_limit limit{0.2, 45.0, 10s};

} // namespace

TEST_CASE("repeats stay a share of the calls plus this VM's part of the slack",
          "[repeat_allowance]")
{
    fleet_retry_budget allowance{limit};
    state::time_point const now{100s};
    for (int i = 0; i < 100; ++i)
    {
        allowance.note_call(now);
    }
    int granted = 0;
    while (allowance.take(now, 9))
    {
        ++granted;
    }
    // 0.7 x (0.2 x 100 + 45 / 9)
    CHECK(granted == 17);
}

// All upstreams of a service fail at once and every call wants to be sent again, at nine entry VMs.
// The fleet's bound holds in each window because each VM holds its part in each window.
TEST_CASE("the bound holds in every window of a storm", "[repeat_allowance][load]")
{
    fleet_retry_budget allowance{limit};
    state::time_point now{100s};
    int calls = 0;
    int granted = 0;
    for (int step = 0; step < 400; ++step)
    {
        now += 25ms;
        allowance.note_call(now);
        ++calls;
        granted += allowance.take(now, 9) ? 1 : 0;
    }
    CHECK(granted <= limit.ratio * calls + limit.slack / 9);
    CHECK(granted >= fleet_retry_budget::used_fraction * limit.ratio * calls);
}

TEST_CASE("what was spent comes back when the window has passed", "[repeat_allowance]")
{
    fleet_retry_budget allowance{limit};
    state::time_point const now{100s};
    while (allowance.take(now, 1))
    {
    }
    CHECK_FALSE(allowance.take(now + 5s, 1));
    CHECK(allowance.take(now + 11s, 1));
}
