#include <plumdale/coordination/send_gate.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point now{100s};
constexpr state::member_key upstream{7};

/// \brief A gate with upstreams of one service.
struct gate_fixture
{
    service_directory directory;
    outlier_detector health;
    upstream_backoffs backoffs;
    fleet_view fleet{state::node_id{1}};
    cold_upstream_limiter cold_limiter{fleet, state::node_id{1}, {}};
    upstream_limits limits{fleet, state::node_id{1}};
    refusal_bounds refusals{limits};
    send_gate gate{directory, health, backoffs, cold_limiter, limits, refusals};
    state::service service;

    gate_fixture()
    {
        service.name = "lists";
    }

    directory_entry const& add(std::string name)
    {
        state::service_member member;
        member.name = std::move(name);
        member.service = service.name;
        member.zone = "a";
        member.revision = 1;
        directory.merge(member, now);
        return *directory.find(state::key_of(member));
    }
};

} // namespace

TEST_CASE("a back-off ends when the latest refusal said", "[backoff]")
{
    upstream_backoffs backoffs;
    CHECK_FALSE(backoffs.is_backing_off(upstream, now));
    CHECK(backoffs.requested(upstream, 3s, now));
    CHECK_FALSE(backoffs.requested(upstream, 1s, now + 1s));
    CHECK(backoffs.requested(upstream, 3s, now + 1s));
    CHECK_FALSE(backoffs.requested(upstream, 0s, now + 1s));
    CHECK(backoffs.is_backing_off(upstream, now + 4s - 1ms));
    CHECK_FALSE(backoffs.is_backing_off(upstream, now + 4s));
    backoffs.sweep(now + 4s);
    CHECK(backoffs.end_of(upstream) == state::time_point{});
}

// Guards against a back-off that is prolonged by the refusal of an exception, and lets another
// exception through each time.
TEST_CASE("exceptions count for as long as back-offs overlap", "[backoff]")
{
    upstream_backoffs backoffs;
    backoffs.requested(upstream, 3s, now);
    CHECK(backoffs.may_send_exception(upstream, now));
    backoffs.note_sent(upstream, now);
    CHECK_FALSE(backoffs.may_send_exception(upstream, now));
    backoffs.requested(upstream, 3s, now + 2s);
    CHECK_FALSE(backoffs.may_send_exception(upstream, now + 2s));
    backoffs.requested(upstream, 3s, now + 6s);
    CHECK(backoffs.may_send_exception(upstream, now + 6s));
}

// Guards against one kind of request that goes on while the others stop: the upstream counts all.
TEST_CASE("every kind of request stays away from an upstream that backs off", "[backoff]")
{
    gate_fixture fixture;
    directory_entry const& entry = fixture.add("i-1");
    state::member_key const key = state::key_of(entry.info);
    fixture.backoffs.requested(key, 3s, now);
    CHECK_FALSE(fixture.gate.may_send(entry, fixture.service, now));
    CHECK(fixture.gate.may_resume(entry, now));
    CHECK(fixture.gate.may_order(key, now));
    fixture.gate.note_ordered(key, now);
    CHECK_FALSE(fixture.gate.may_resume(entry, now));
    CHECK_FALSE(fixture.gate.may_order(key, now));
    CHECK(fixture.gate.may_send(entry, fixture.service, now + 3s));
    CHECK(fixture.gate.may_resume(entry, now + 3s));
    CHECK(fixture.gate.may_order(key, now + 3s));
}

TEST_CASE("the first end of back-offs is given only if all upstreams back off", "[backoff]")
{
    gate_fixture fixture;
    CHECK_FALSE(fixture.gate.backoffs_end("lists", now));
    state::member_key const first = state::key_of(fixture.add("i-1").info);
    state::member_key const second = state::key_of(fixture.add("i-2").info);
    state::member_key const leaving = state::key_of(fixture.add("i-3").info);
    fixture.directory.mark_leaving(leaving, now);
    fixture.backoffs.requested(first, 3s, now);
    CHECK_FALSE(fixture.gate.backoffs_end("lists", now));
    fixture.backoffs.requested(second, 2s, now);
    CHECK(fixture.gate.backoffs_end("lists", now) == now + 2s);
}
