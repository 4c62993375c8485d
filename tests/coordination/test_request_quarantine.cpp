#include <plumdale/coordination/request_quarantine.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::request_digest request{77};
constexpr state::request_digest other{78};

constexpr state::time_point at(state::duration time)
{
    return state::time_point{} + 1h + time;
}

state::member_key upstream(std::uint64_t number)
{
    return state::member_key{number};
}

} // namespace

// Guards against a request that ends one upstream after the other under new ids.
TEST_CASE("a request that two upstreams ran as they ended is refused, others are not",
          "[quarantine]")
{
    request_quarantine quarantine;
    CHECK(quarantine.upstream_ended(request, upstream(1), at(0s)));
    CHECK_FALSE(quarantine.refuses(request, at(0s)));
    CHECK(quarantine.upstream_ended(request, upstream(2), at(1s)));
    CHECK(quarantine.refuses(request, at(1s)));
    CHECK_FALSE(quarantine.refuses(other, at(1s)));
    CHECK(quarantine.refused_count() == 1);
}

// Guards against counting one ended upstream twice: two attempts at it report it, and peers repeat
// it.
TEST_CASE("an upstream that ended counts once for a request", "[quarantine]")
{
    request_quarantine quarantine;
    CHECK(quarantine.upstream_ended(request, upstream(1), at(0s)));
    CHECK_FALSE(quarantine.upstream_ended(request, upstream(1), at(1s)));
    quarantine.apply_update({request, upstream(1), 2s}, at(3s));
    CHECK_FALSE(quarantine.refuses(request, at(3s)));
}

// Guards against refusing the many requests that ran beside one that ends upstreams.
TEST_CASE("an answer clears a request", "[quarantine]")
{
    request_quarantine quarantine;
    CHECK(quarantine.upstream_ended(request, upstream(1), at(0s)));
    CHECK(quarantine.answered(request, at(1s)));
    CHECK_FALSE(quarantine.upstream_ended(request, upstream(2), at(2s)));
    CHECK_FALSE(quarantine.refuses(request, at(2s)));
    CHECK(quarantine.digest() == 0);
}

// Guards against refusing a request that many callers send, when several upstreams that run it lose
// power at the same moment.
TEST_CASE("a request that was answered lately is not refused, by this VM or by peers",
          "[quarantine]")
{
    request_quarantine here;
    request_quarantine there;
    CHECK_FALSE(here.answered(request, at(0s)));
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        CHECK_FALSE(here.upstream_ended(request, upstream(i), at(30s)));
        CHECK(there.upstream_ended(request, upstream(10 + i), at(30s)) ==
              (i <= request_quarantine::refusal_threshold));
    }
    CHECK(there.refuses(request, at(30s)));
    for (request_evidence const& each : there.unreported())
    {
        here.apply_update(each, at(30s));
    }
    for (request_evidence const& each : here.unreported())
    {
        there.apply_update(each, at(30s));
    }
    CHECK_FALSE(there.refuses(request, at(30s)));
    // Answers clear it for a limited time only.
    CHECK(here.upstream_ended(request, upstream(1), at(30s + 2 * answered_requests::retention)));
}

TEST_CASE("one answer to a peer's evidence is enough", "[quarantine]")
{
    request_quarantine quarantine;
    quarantine.answered(request, at(0s));
    quarantine.apply_update({request, upstream(1), 0s}, at(1s));
    quarantine.apply_update({request, {}, 0s}, at(1s));
    CHECK(quarantine.unreported().empty());
}

// Guards against VMs that stay different after lost, repeated and reordered datagrams.
TEST_CASE("evidence in any order and any number of times gives the same result", "[quarantine]")
{
    for (unsigned seed = 0; seed < 2'000; ++seed)
    {
        std::mt19937 random{seed};
        std::vector<request_evidence> evidence;
        for (std::uint64_t i = 0; i < 12; ++i)
        {
            evidence.push_back({state::request_digest{1 + random() % 4}, upstream(1 + random() % 5),
                                std::chrono::milliseconds{random() % 1000}});
        }
        request_quarantine one;
        request_quarantine another;
        for (request_evidence const& each : evidence)
        {
            one.apply_update(each, at(1s));
        }
        evidence.insert(evidence.end(), evidence.begin(), evidence.begin() + 4);
        std::shuffle(evidence.begin(), evidence.end(), random);
        for (request_evidence const& each : evidence)
        {
            another.apply_update(each, at(1s));
        }
        INFO("seed " << seed);
        REQUIRE(one.digest() == another.digest());
        REQUIRE(one.refused_count() == another.refused_count());
    }
}

// Guards against a VM that started later, or was cut off, and has no evidence.
TEST_CASE("a VM without evidence gets all from a peer", "[quarantine]")
{
    request_quarantine one;
    for (std::uint64_t i = 1; i <= 20; ++i)
    {
        one.upstream_ended(state::request_digest{i}, upstream(1), at(0s));
        one.upstream_ended(state::request_digest{i}, upstream(1 + i % 2), at(0s));
    }
    request_quarantine another;
    for (request_evidence const& each : one.evidence(100, at(1s)))
    {
        another.apply_update(each, at(1s));
    }
    CHECK(another.digest() == one.digest());
    CHECK(another.refused_count() == 10);
    CHECK(one.evidence(20, at(1s)).size() == 20);
    // All of it is on refused requests.
    request_quarantine part;
    for (request_evidence const& each : one.evidence(20, at(1s)))
    {
        part.apply_update(each, at(1s));
    }
    CHECK(part.refused_count() == 10);
}

TEST_CASE("a refused request may be sent again once it has not arrived for a while", "[quarantine]")
{
    request_quarantine quarantine;
    quarantine.upstream_ended(request, upstream(1), at(0s));
    quarantine.upstream_ended(request, upstream(2), at(0s));
    state::duration const later = request_quarantine::lifetime - 1s;
    CHECK(quarantine.refused_for(request, at(later)) == 1s);
    CHECK(quarantine.refuses(request, at(later)));
    CHECK(quarantine.refuses(request, at(2 * later)));
    CHECK_FALSE(quarantine.refuses(request, at(2 * later + request_quarantine::lifetime)));
    quarantine.forget(at(2 * later + request_quarantine::lifetime));
    CHECK(quarantine.refused_count() == 0);
    CHECK(quarantine.digest() == 0);
}

// Guards against old evidence that makes the memory grow, or evicts a refused request.
TEST_CASE("memory is bounded and keeps refused requests", "[quarantine]")
{
    request_quarantine quarantine;
    quarantine.upstream_ended(request, upstream(1), at(0s));
    quarantine.upstream_ended(request, upstream(2), at(0s));
    for (std::uint64_t i = 1'000; i < 1'000 + 3 * request_quarantine::capacity; ++i)
    {
        quarantine.upstream_ended(state::request_digest{i}, upstream(3), at(1s));
    }
    CHECK(quarantine.refuses(request, at(2s)));
    CHECK(quarantine.evidence(100'000, at(2s)).size() <= request_quarantine::capacity + 1);
    answered_requests answered;
    for (std::uint64_t i = 1; i < 10 * answered_requests::capacity; ++i)
    {
        answered.note(state::request_digest{i}, at(0s));
    }
    CHECK(answered.contains(state::request_digest{10 * answered_requests::capacity - 1}, at(0s)));
    CHECK_FALSE(answered.contains(state::request_digest{1}, at(0s)));
}

TEST_CASE("old and empty evidence changes nothing", "[quarantine]")
{
    request_quarantine quarantine;
    CHECK_FALSE(
        quarantine.apply_update({request, upstream(1), request_quarantine::lifetime}, at(0s)));
    CHECK_FALSE(quarantine.apply_update({{}, upstream(1), 0s}, at(0s)));
    CHECK_FALSE(quarantine.apply_update({request, {}, 0s}, at(0s)));
    CHECK(quarantine.digest() == 0);
}

// Guards against saturated links when a zone is cut off and hundreds of calls end at once.
TEST_CASE("of many upstreams that end at once a few are reported, and digests stay equal",
          "[quarantine][load]")
{
    request_quarantine quarantine;
    for (std::uint64_t i = 1; i <= 200; ++i)
    {
        quarantine.upstream_ended(state::request_digest{i}, upstream(i % 20 + 1), at(0s));
    }
    CHECK(quarantine.unreported().size() == request_quarantine::max_reports_per_second);
    CHECK(quarantine.ended_upstream_count(state::request_digest{200}) == 1);
    CHECK(quarantine.digest() == 0);
    CHECK(quarantine.evidence(100, at(0s)).empty());
    quarantine.upstream_ended(state::request_digest{201}, upstream(1), at(1s));
    CHECK(quarantine.unreported().size() == 1);
}
