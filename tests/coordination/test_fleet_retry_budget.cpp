#include <plumdale/coordination/fleet_retry_budget.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr fleet_retry_limit limit{0.2, 45.0, 10s};

} // namespace

TEST_CASE("retries stay within a share of the calls plus this VM's part of the slack",
          "[fleet_retry_budget]")
{
    fleet_retry_budget budget{limit};
    state::time_point const now{100s};
    for (int i = 0; i < 100; ++i)
    {
        budget.note_call(now);
    }
    int granted = 0;
    while (budget.take(now, 9))
    {
        ++granted;
    }
    // 0.7 x (0.2 x 100 + 45 / 9)
    CHECK(granted == 17);
}

// Guards against a retry storm when all upstreams of a service fail at once and every call is to be
// sent again, at nine entry VMs. The fleet's bound holds in each window if each VM's part does.
TEST_CASE("the bound holds in every window of a retry storm", "[fleet_retry_budget][load]")
{
    fleet_retry_budget budget{limit};
    state::time_point now{100s};
    int calls = 0;
    int granted = 0;
    for (int step = 0; step < 400; ++step)
    {
        now += 25ms;
        budget.note_call(now);
        ++calls;
        granted += budget.take(now, 9) ? 1 : 0;
    }
    CHECK(granted <= limit.ratio * calls + limit.slack / 9);
    CHECK(granted >= fleet_retry_budget::used_fraction * limit.ratio * calls);
}

// Guards against a reservation that keeps others from their retries once it is released.
TEST_CASE("a retry that is released may be taken again, and no other", "[fleet_retry_budget]")
{
    fleet_retry_budget budget{limit};
    state::time_point const now{100s};
    REQUIRE(budget.reserve(now, 9));
    while (budget.take(now, 9))
    {
    }
    budget.release();
    CHECK(budget.take(now + 1s, 9));
    CHECK_FALSE(budget.take(now + 1s, 9));
    budget.release();
    CHECK_FALSE(budget.take(now + 1s, 9));
}

// Guards against a window that gets what was reserved in the one before beside all of its own.
TEST_CASE("a retry that is sent late counts in the window in which it is sent",
          "[fleet_retry_budget]")
{
    fleet_retry_budget budget{limit};
    state::time_point const now{100s};
    // 0.7 x 45 / 9
    constexpr int allowed = 3;
    for (int i = 0; i < allowed; ++i)
    {
        REQUIRE(budget.reserve(now, 9));
    }
    CHECK_FALSE(budget.take(now + 16s, 9));
    budget.spend(now + 16s);
    budget.release();
    budget.release();
    CHECK(budget.counts(now + 16s).retries == 1);
    CHECK(budget.take(now + 17s, 9));
    CHECK(budget.take(now + 17s, 9));
    CHECK_FALSE(budget.take(now + 25s, 9));
    CHECK(budget.take(now + 27s, 9));
}

TEST_CASE("spent retries are available again once the window has passed", "[fleet_retry_budget]")
{
    fleet_retry_budget budget{limit};
    state::time_point const now{100s};
    while (budget.take(now, 1))
    {
    }
    CHECK_FALSE(budget.take(now + 5s, 1));
    CHECK(budget.take(now + 11s, 1));
}

// Guards against retries that are free again before the window that begins with them has passed.
TEST_CASE("retries count for a whole window, wherever it begins", "[fleet_retry_budget]")
{
    for (state::duration const offset : {0ms, 500ms, 999ms})
    {
        fleet_retry_budget budget{{0.0, 10.0, 10s}};
        state::time_point const now{100s + offset};
        while (budget.take(now, 1))
        {
        }
        CHECK_FALSE(budget.take(now + 9'999ms, 1));
    }
}

// Guards against calls long before or after the window that pay for retries in it.
TEST_CASE("only calls of the windows that the limit names pay for retries", "[fleet_retry_budget]")
{
    fleet_retry_budget budget{{0.2, 0.0, 10s}};
    state::time_point const begin{100s};
    int granted = 0;
    auto const note_calls = [&](state::time_point now)
    {
        for (int i = 0; i < 100; ++i)
        {
            budget.note_call(now);
        }
    };
    // A window that begins at 105 s has 100 calls, the one before it and the one half a window
    // before it have 100 each: 20 retries are allowed in it.
    note_calls(begin + 3s);
    note_calls(begin + 12s);
    for (state::duration at = 5s; at < 15s; at += 10ms)
    {
        granted += budget.take(begin + at, 1) ? 1 : 0;
    }
    CHECK(granted <= 20);
}

// Guards against a running generation that reserves the repeat for which a stopped one waits: the
// one could run on, the other is cut with its caller's patience.
TEST_CASE("nothing else is spent while a generation whose run is over waits for a repeat",
          "[fleet_retry_budget]")
{
    fleet_retry_budget budget{{0.0, 2.0, 10s}};
    state::time_point const now{100s};
    REQUIRE(budget.take(now, 1, retry_priority::preferred));
    state::time_point const free = now + 10'250ms;
    for (state::time_point at = free - 1'100ms; at < free; at += 100ms)
    {
        REQUIRE_FALSE(budget.take(at, 1, retry_priority::owed));
    }
    CHECK_FALSE(budget.take(free, 1, retry_priority::preferred));
    CHECK_FALSE(budget.take(free, 1, retry_priority::yielding));
    CHECK(budget.take(free, 1, retry_priority::owed));
}

TEST_CASE("an owed repeat that is asked for no more leaves the others their turn",
          "[fleet_retry_budget]")
{
    fleet_retry_budget budget{{0.0, 2.0, 10s}};
    state::time_point const now{100s};
    REQUIRE(budget.take(now, 1, retry_priority::owed));
    REQUIRE_FALSE(budget.take(now + 9s, 1, retry_priority::owed));
    CHECK(budget.take(now + 11s, 1, retry_priority::preferred));
}
