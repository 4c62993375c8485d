#include <plumdale/coordination/load_ledger.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key upstream{7};
constexpr state::node_id peer{3};
constexpr state::incarnation first_incarnation{100};

member_load load_of(std::uint32_t calls, std::uint32_t tokens)
{
    return {upstream, calls, tokens, tokens + 500, tokens};
}

} // namespace

TEST_CASE("own and peers' calls add up, and are removed when they end", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    ledger.add(upstream, load_of(1, 3'000));
    std::vector<member_load> const reported{load_of(2, 5'000)};
    ledger.apply_update(peer, first_incarnation, 1, true, reported, now);
    CHECK(ledger.total(upstream) == member_load{upstream, 3, 8'000, 9'000, 8'000});

    ledger.remove(upstream, load_of(1, 3'000));
    CHECK(ledger.total(upstream).calls == 2);
    ledger.apply_update(peer, first_incarnation, 2, true, {}, now);
    CHECK(ledger.total(upstream).calls == 0);
}

// Guards against counting a call as in flight for ever, when the peer's datagram on its end arrives
// before the one on its start.
TEST_CASE("a reordered message does not restore ended calls", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const started{load_of(1, 3'000)};
    std::vector<member_load> const ended{load_of(0, 0)};
    ledger.apply_update(peer, first_incarnation, 6, false, ended, now);
    ledger.apply_update(peer, first_incarnation, 5, false, started, now);
    CHECK(ledger.total(upstream).calls == 0);
}

TEST_CASE("another incarnation of a peer starts without calls and with any sequence",
          "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const reported{load_of(2, 5'000)};
    ledger.apply_update(peer, first_incarnation, 900, true, reported, now);
    ledger.apply_update(peer, state::incarnation{50}, 1, false, {}, now);
    CHECK(ledger.total(upstream).calls == 0);
}

// Guards against reserving memory for calls of an entry VM that lost power: they end at the
// upstreams with its connections.
TEST_CASE("calls of a silent peer are removed", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const reported{load_of(2, 5'000)};
    ledger.apply_update(peer, first_incarnation, 1, true, reported, now);
    ledger.forget_silent(now + 1s, 3500ms);
    CHECK(ledger.total(upstream).calls == 2);
    ledger.forget_silent(now + 3501ms, 3500ms);
    CHECK(ledger.total(upstream).calls == 0);
}

// Guards against entry VMs that avoid idle upstreams: a plain call takes 30 ms and holds no memory,
// so its row is outdated before it arrives.
TEST_CASE("peers get only rows that hold memory", "[load_ledger]")
{
    load_ledger ledger;
    constexpr state::member_key plain{8};
    ledger.add(plain, {plain, 1, 0, 0, 0});
    ledger.add(upstream, load_of(1, 3'000));
    ledger.add(upstream, load_of(1, 2'000));
    REQUIRE(ledger.own_generations().size() == 1);
    CHECK(ledger.own_generations().front().tokens == 5'000);
    ledger.remove(upstream, load_of(2, 5'000));
    CHECK(ledger.own_generations().empty());
}
