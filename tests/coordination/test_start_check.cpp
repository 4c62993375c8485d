#include <plumdale/coordination/start_check.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

// Guards against a start that counts as the latest one for years.
TEST_CASE("a start far ahead of the time of day is impossible", "[odd_entry]")
{
    constexpr std::chrono::milliseconds now{1'784'177'076'285};
    constexpr auto at = [](std::chrono::milliseconds time)
    {
        return state::incarnation{static_cast<std::uint64_t>(time.count())};
    };
    CHECK_FALSE(is_impossible_start({}, now));
    CHECK_FALSE(is_impossible_start(at(now - 24h), now));
    CHECK_FALSE(is_impossible_start(at(now + 10s), now));
    CHECK(is_impossible_start(at(now + 25h), now));
    CHECK(is_impossible_start(state::incarnation{UINT64_MAX}, now));
}
