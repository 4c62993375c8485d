#include <plumdale/coordination/repeat_allowance.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr allowance_terms terms{0.2, 45.0, 10s};

} // namespace

TEST_CASE("repeats stay a share of the calls plus this VM's part of the slack",
          "[repeat_allowance]")
{
    repeat_allowance allowance{terms};
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
    repeat_allowance allowance{terms};
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
    CHECK(granted <= terms.ratio * calls + terms.slack / 9);
    CHECK(granted >= repeat_allowance::used_part * terms.ratio * calls);
}

TEST_CASE("what was spent comes back when the window has passed", "[repeat_allowance]")
{
    repeat_allowance allowance{terms};
    state::time_point const now{100s};
    while (allowance.take(now, 1))
    {
    }
    CHECK_FALSE(allowance.take(now + 5s, 1));
    CHECK(allowance.take(now + 11s, 1));
}
