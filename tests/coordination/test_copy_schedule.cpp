#include <plumdale/coordination/copy_schedule.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

state::engine_limits engine()
{
    state::engine_limits limits;
    limits.bytes_per_token = 131'072.0;
    limits.link_megabits = 19'000.0;
    return limits;
}

} // namespace

TEST_CASE("a copy takes the link's time, twice that to another zone", "[copy_schedule]")
{
    // 3,000 tokens of 131,072 bytes at 19,000 Mbit/s are 165.6 ms.
    auto const near = copy_time(engine(), 3'000, false);
    auto const far = copy_time(engine(), 3'000, true);
    CHECK(near > 165ms);
    CHECK(near < 175ms);
    CHECK(far > 330ms);
}

// Load pattern: an upstream with six drafts of several entry VMs gets notice; all first copies
// queue on its link for 1.2 s. A last copy ordered before they are through stops its draft and then
// waits behind them: the caller's stream stands still for as long.
TEST_CASE("last copies wait for the first ones of all entry VMs", "[copy_schedule][load]")
{
    departure const leaving{state::time_point{100s}, state::time_point{102s}};
    state::time_point const from = last_copies_from(leaving, engine(), 21'000, 6);
    CHECK(from >= leaving.learnt_at + copy_time(engine(), 21'000, false));
    CHECK(from + departure_margin <= *leaving.leaves_at);
}

TEST_CASE("few copies don't wait for the departure", "[copy_schedule]")
{
    departure const leaving{state::time_point{100s}, state::time_point{102s}};
    CHECK(last_copies_from(leaving, engine(), 2'000, 1) < leaving.learnt_at + 300ms);
}

TEST_CASE("an unknown departure is taken for the shortest notice", "[copy_schedule]")
{
    departure const leaving{state::time_point{100s}, std::nullopt};
    state::time_point const from = last_copies_from(leaving, engine(), 60'000, 15);
    CHECK(from < leaving.learnt_at + shortest_notice - notice_delay);
    CHECK(gone_at(leaving) == leaving.learnt_at + shortest_notice - notice_delay);
}
