#include <plumdale/coordination/upstream_reach.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstreams = 16;

state::member_key upstream(std::uint64_t number)
{
    return {number};
}

state::time_point at(state::duration time)
{
    return state::time_point{} + 1h + time;
}

/// \brief Fails as many different upstreams as it takes, 1 ms apart; returns the last change.
reach_change fail_all(upstream_reach& reach, state::duration from)
{
    reach_change last = reach_change::none;
    for (std::uint64_t i = 1; i <= upstream_reach::min_failed; ++i)
    {
        last = reach.connection_failed(upstream(i), upstreams, at(from + 1ms * i));
    }
    return last;
}

} // namespace

TEST_CASE("paths are lost when different upstreams fail in a row", "[reach]")
{
    upstream_reach reach;
    CHECK(fail_all(reach, 0s) == reach_change::lost);
    CHECK(reach.is_lost());
    CHECK(reach.connected(at(1s)) == reach_change::restored);
    CHECK_FALSE(reach.is_lost());
    CHECK(reach.failed().empty());
}

// Guards against one dead upstream, tried again and again, that counts as a lost path.
TEST_CASE("one upstream that fails often is no lost path", "[reach]")
{
    upstream_reach reach;
    for (int i = 0; i < 100; ++i)
    {
        CHECK(reach.connection_failed(upstream(1), upstreams, at(10ms * i)) == reach_change::none);
    }
    CHECK_FALSE(reach.is_lost());
}

// Guards against a service of which many upstreams are dead: one that answers in between decides.
TEST_CASE("an upstream that is reached ends the doubt", "[reach]")
{
    upstream_reach reach;
    for (std::uint64_t i = 1; i < 40; ++i)
    {
        auto const now = at(1s * i);
        CHECK(reach.connection_failed(upstream(i), upstreams, now) == reach_change::none);
        if (i % (upstream_reach::min_failed - 1) == 0)
        {
            reach.connected(now + 10ms);
        }
    }
}

TEST_CASE("failures far apart are not counted together", "[reach]")
{
    upstream_reach reach;
    for (std::uint64_t i = 1; i < 20; ++i)
    {
        auto const now = at(i * (upstream_reach::failure_lifetime + 1s));
        CHECK(reach.connection_failed(upstream(i), upstreams, now) == reach_change::none);
    }
}

TEST_CASE("of few upstreams all have to fail", "[reach]")
{
    upstream_reach reach;
    CHECK(reach.connection_failed(upstream(1), 2, at(0s)) == reach_change::none);
    CHECK(reach.connection_failed(upstream(2), 2, at(1ms)) == reach_change::lost);
}

// Guards against probes that a sound VM sends for each upstream that is down.
TEST_CASE("a failure right after a success raises no doubt", "[reach]")
{
    upstream_reach reach;
    reach.connected(at(0s));
    reach.connection_failed(upstream(1), upstreams, at(upstream_reach::contact_time / 2));
    CHECK(reach.take_due_probes(at(upstream_reach::contact_time / 2)) == 0);
    reach.connection_failed(upstream(1), upstreams, at(upstream_reach::contact_time * 2));
    CHECK(reach.take_due_probes(at(upstream_reach::contact_time * 2)) ==
          upstream_reach::probes_in_doubt);
}

TEST_CASE("probes go on at intervals until an upstream is reached", "[reach]")
{
    upstream_reach reach;
    CHECK(reach.take_due_probes(at(0s)) == 0);
    fail_all(reach, 0s);
    state::time_point now = at(10ms);
    for (int i = 0; i < 30; ++i)
    {
        CHECK(reach.take_due_probes(now) == upstream_reach::probes_while_lost);
        CHECK(reach.take_due_probes(now + 10ms) == 0);
        now += upstream_reach::probe_interval;
    }
    reach.connected(now);
    CHECK(reach.take_due_probes(now + 1s) == 0);
}
