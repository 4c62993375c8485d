#include "policy_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace plumdale::coordination::testing;

namespace
{

constexpr auto draft = state::work_kind::draft;
constexpr auto question = state::work_kind::question;

struct policy_fixture
{
    fleet_snapshot fleet = fleet_of(4);
    projected_memory_policy policy{{state::node_id{1}, zone_a, 1}, {}, 7};

    dispatch_decision decide(state::request const& request, state::time_point now)
    {
        return policy.decide(first_attempt(request, now), fleet, now);
    }

    /// \brief Reports `part` of every engine's memory as used.
    void fill(double part, state::time_point now)
    {
        for (upstream_view const& each : fleet.upstreams)
        {
            report(*each.gauge, static_cast<std::uint32_t>(part * 4096), 20, now);
        }
    }
};

} // namespace

TEST_CASE("requests stay in their zone while it has capacity, and spills are counted by reason",
          "[policy]")
{
    policy_fixture f;
    auto const request = request_of(question);
    CHECK(f.decide(request, at(1)).upstream->info.zone == zone_a);
    report(*f.fleet.upstreams[0].gauge, 4096, 40, at(1));
    report(*f.fleet.upstreams[2].gauge, 4096, 40, at(1));
    CHECK(f.decide(request, at(1.5)).upstream->info.zone == zone_b);
    CHECK(f.policy.counts().spilled_no_capacity == 1);
    f.fleet.upstreams[0].accepting = false;
    f.fleet.upstreams[2].accepting = false;
    CHECK(f.decide(request, at(2)).upstream->info.zone == zone_b);
    CHECK(f.policy.counts().spilled_no_upstream == 1);
}

// Drafts fill the engines up to their bound. A question is served at once. A draft waits at most
// for the preset's time and is then refused at once, not at its deadline, with a jittered time to
// retry.
TEST_CASE("a question is dispatched where a draft waits and is then refused", "[policy]")
{
    policy_fixture f;
    f.fill(0.93, at(1));
    CHECK(f.decide(request_of(question), at(1.2)).verdict == dispatch_verdict::dispatch);

    state::request const late = request_of(draft, 2000);
    dispatch_decision decision = f.decide(late, at(1.2));
    state::time_point now = at(1.2);
    while (decision.verdict == dispatch_verdict::wait)
    {
        REQUIRE(decision.reevaluate_at > now);
        now = decision.reevaluate_at;
        decision = f.policy.decide({late, at(1.2), 0, {}}, f.fleet, now);
    }
    CHECK(decision.verdict == dispatch_verdict::refuse);
    CHECK(decision.kind == state::error_kind::overloaded);
    CHECK(now <= at(1.2) + f.fleet.preset.draft_wait);
    CHECK(now >= at(1.2) + f.fleet.preset.draft_wait / 2);
}

TEST_CASE("times to retry are jittered from half to one and a half of the preset's", "[policy]")
{
    policy_fixture f;
    f.fill(1.0, at(1));
    f.fleet.preset.draft_wait = {};
    std::set<state::duration> times;
    for (int i = 0; i < 100; ++i)
    {
        auto const decision = f.decide(request_of(draft), at(1.2));
        REQUIRE(decision.verdict == dispatch_verdict::refuse);
        CHECK(decision.retry_after >= f.fleet.preset.retry_after / 2);
        CHECK(decision.retry_after <= f.fleet.preset.retry_after * 3 / 2);
        times.insert(decision.retry_after);
    }
    CHECK(times.size() > 90);
}

TEST_CASE("own drafts since the last report count against further ones", "[policy]")
{
    policy_fixture f;
    f.fill(0.5, at(1));
    std::uint64_t dispatched = 0;
    for (std::uint64_t i = 1; i <= 400; ++i)
    {
        auto const request = request_of(draft, 500);
        auto const decision = f.decide(request, at(1.2));
        if (decision.verdict == dispatch_verdict::dispatch)
        {
            f.policy.started(state::stream_handle{i}, request, *decision.upstream, at(1.2));
            ++dispatched;
        }
    }
    // Four engines have 32,768 free tokens each; all 400 drafts would hold 200,000.
    CHECK(dispatched > 40);
    CHECK(dispatched * 500 < 131'072);
}

TEST_CASE("a request past its deadline is refused as not run", "[policy]")
{
    policy_fixture f;
    auto request = request_of(question);
    request.deadline = at(1);
    CHECK(f.decide(request, at(1)).kind == state::error_kind::deadline_not_run);
}

// A third of the engines crash, and all of their requests are retried at once. The first few are
// served elsewhere; the rest is refused, so that the remaining engines don't get the load of the
// crashed ones in addition to their own.
TEST_CASE("retries are bounded by a share of first attempts", "[policy]")
{
    policy_fixture f;
    auto const request = request_of(question, 20);
    for (int i = 0; i < 100; ++i)
    {
        static_cast<void>(f.decide(request, at(1)));
    }
    std::vector<state::upstream_id> const failed{state::upstream_id{1}};
    int retried = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const decision = f.policy.decide({request, at(1), 1, failed}, f.fleet, at(2));
        bool const sent = decision.verdict == dispatch_verdict::dispatch;
        CHECK((!sent || decision.upstream->info.id != failed[0]));
        retried += sent ? 1 : 0;
    }
    // The budget is five at the start and ten for each hundred first attempts.
    CHECK(retried == 15);
}

// An engine restarts empty and looks best to every entry VM at the same moment. Its first requests
// would all prefill at once and stall each other, so each entry VM sends only its share of a batch
// that grows over ten seconds.
TEST_CASE("a newly discovered engine is ramped up slowly", "[policy]")
{
    policy_fixture f;
    f.fleet = fleet_of(1);
    for (std::uint64_t i = 2; i < 9; ++i)
    {
        state::member other;
        other.id = state::node_id{i};
        f.fleet.members.push_back(other);
    }
    f.fleet.upstreams[0].gauge->first_seen = at(10).time_since_epoch().count();
    std::uint64_t started = 0;
    auto const send_all = [&](state::time_point now)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto const request = request_of(question, 20);
            auto const decision = f.decide(request, now);
            if (decision.verdict == dispatch_verdict::dispatch)
            {
                f.policy.started(state::stream_handle{++started}, request, *decision.upstream, now);
            }
        }
        return started;
    };
    CHECK(send_all(at(10)) == 1);
    CHECK(send_all(at(15)) == 4);
    CHECK(send_all(at(20)) > 10);
}

TEST_CASE("an engine with repeated failures gets one stream at a time", "[policy]")
{
    policy_fixture f;
    f.fleet = fleet_of(1);
    auto const request = request_of(question);
    std::uint64_t stream = 0;
    auto const start = [&]
    {
        f.policy.started(state::stream_handle{++stream}, request, f.fleet.upstreams[0], at(1));
    };
    for (int i = 0; i < 3; ++i)
    {
        start();
        f.policy.ended(state::stream_handle{stream}, 0, stream_outcome::failed, at(1));
    }
    REQUIRE(f.decide(request, at(1)).verdict == dispatch_verdict::dispatch);
    start();
    CHECK(f.decide(request, at(1)).verdict != dispatch_verdict::dispatch);
    f.policy.token(state::stream_handle{stream}, 0, at(1));
    CHECK(f.decide(request, at(1)).verdict == dispatch_verdict::dispatch);
}

TEST_CASE("an engine with a warm prefix is preferred within a load bound", "[policy]")
{
    policy_fixture f;
    auto request = request_of(question);
    request.prefix = {11, 22, 33};
    f.policy.started(state::stream_handle{1}, request, f.fleet.upstreams[2], at(1));
    CHECK(f.decide(request, at(1)).upstream->info.id == f.fleet.upstreams[2].info.id);
    report(*f.fleet.upstreams[2].gauge, 2048, 20, at(1));
    CHECK(f.decide(request, at(1.2)).upstream->info.id == f.fleet.upstreams[0].info.id);
}

// Operators switch between two presets every second while streams run. No caller loses its stream,
// the stricter bound holds from the switch on, and the learnt factor stays stable.
TEST_CASE("preset switches under load lose no stream and keep the learnt factor stable", "[policy]")
{
    policy_fixture f;
    auto const request = request_of(draft, 500);
    for (std::uint64_t i = 1; i <= 30; ++i)
    {
        f.policy.started(state::stream_handle{i}, request, f.fleet.upstreams[i % 4], at(0));
    }
    std::uint32_t tokens = 0;
    for (int second = 1; second <= 60; ++second)
    {
        bool const strict = second % 2 == 0;
        f.fleet.preset.max_batch = strict ? 4 : 48;
        f.fleet.preset.question_headroom = strict ? 0.5 : 0.05;
        for (upstream_view const& each : f.fleet.upstreams)
        {
            report(*each.gauge, 600, 8, at(second));
        }
        for (std::uint64_t i = 1; i <= 30; ++i)
        {
            f.policy.token(state::stream_handle{i}, tokens, at(second));
        }
        ++tokens;
        auto const verdict = f.decide(request, at(second + 0.2)).verdict;
        CHECK((verdict == dispatch_verdict::dispatch) == !strict);
    }
    CHECK(f.policy.limit_factor(lists) == Approx(1.0).margin(0.01));
    for (std::uint64_t i = 1; i <= 30; ++i)
    {
        f.policy.ended(state::stream_handle{i}, tokens, stream_outcome::finished, at(61));
    }
    for (upstream_view const& each : f.fleet.upstreams)
    {
        CHECK(each.gauge->in_flight == 0);
        CHECK(each.gauge->held_tokens == 0);
        CHECK(each.gauge->projected[2] == 0);
        CHECK(each.gauge->variance[2] == 0);
    }
}

TEST_CASE("a plain call goes to the upstream with the fewest calls and never waits for memory",
          "[policy]")
{
    policy_fixture f;
    f.fill(1.0, at(1));
    auto const call = request_of(state::work_kind::call);
    f.fleet.upstreams[0].gauge->in_flight = 3;
    CHECK(f.decide(call, at(1)).upstream->info.id == f.fleet.upstreams[2].info.id);
}
