#include <plumdale/coordination/outlier_detector.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key upstream{7};

} // namespace

TEST_CASE("the usual failure rate ejects no upstream", "[outlier_detector]")
{
    outlier_detector health;
    state::time_point now{10s};
    for (int i = 0; i < 200; ++i)
    {
        now += 20ms;
        health.note(upstream, i % 7 == 0 ? call_result::failed : call_result::good, now);
        CHECK(health.penalty(upstream, now) == 0.0);
    }
}

TEST_CASE("an upstream that fails most calls is ejected and tried again", "[outlier_detector]")
{
    outlier_detector health;
    state::time_point const now{10s};
    for (int i = 0; i < 4; ++i)
    {
        health.note(upstream, call_result::failed, now);
    }
    CHECK(health.penalty(upstream, now) == 1.0);
    CHECK(health.penalty(upstream, now + outlier_detector::initial_ejection_time + 1ms) < 1.0);
    for (int i = 0; i < 4; ++i)
    {
        health.note(upstream, call_result::good, now + 1s);
    }
    CHECK(health.penalty(upstream, now + 1s) == 0.0);
}

TEST_CASE("refusals of a full upstream don't count as failures", "[outlier_detector]")
{
    outlier_detector health;
    state::time_point const now{10s};
    for (int i = 0; i < 20; ++i)
    {
        health.note(upstream, call_result::busy, now);
    }
    CHECK(health.penalty(upstream, now) == 0.0);
}
