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
constexpr state::incarnation first_uptime{100};

member_load load_of(std::uint32_t calls, std::uint32_t tokens)
{
    return {upstream, calls, tokens, tokens + 500, tokens};
}

} // namespace

TEST_CASE("own and peers' calls add up, and go when they end", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    ledger.add(upstream, load_of(1, 3'000));
    std::vector<member_load> const told{load_of(2, 5'000)};
    ledger.apply_update(peer, first_uptime, 1, true, told, now);
    CHECK(ledger.total(upstream) == member_load{upstream, 3, 8'000, 9'000, 8'000});

    ledger.remove(upstream, load_of(1, 3'000));
    CHECK(ledger.total(upstream).calls == 2);
    ledger.apply_update(peer, first_uptime, 2, true, {}, now);
    CHECK(ledger.total(upstream).calls == 0);
}

// Datagrams overtake each other. A caller's answer ended at a peer, whose message that says so
// comes before the one that told of its start: the call would count for ever as one in flight.
TEST_CASE("a message that was overtaken does not bring ended calls back", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const started{load_of(1, 3'000)};
    std::vector<member_load> const ended{load_of(0, 0)};
    ledger.apply_update(peer, first_uptime, 6, false, ended, now);
    ledger.apply_update(peer, first_uptime, 5, false, started, now);
    CHECK(ledger.total(upstream).calls == 0);
}

TEST_CASE("another uptime of a peer begins without calls and with any sequence", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const told{load_of(2, 5'000)};
    ledger.apply_update(peer, first_uptime, 900, true, told, now);
    ledger.apply_update(peer, state::incarnation{50}, 1, false, {}, now);
    CHECK(ledger.total(upstream).calls == 0);
}

// An entry VM loses power. Its calls end at the upstreams with its connections; a ledger that kept
// them would hold memory free for nobody.
TEST_CASE("calls of a silent peer are forgotten", "[load_ledger]")
{
    load_ledger ledger;
    state::time_point const now{10s};
    std::vector<member_load> const told{load_of(2, 5'000)};
    ledger.apply_update(peer, first_uptime, 1, true, told, now);
    ledger.forget_silent(now + 1s, 3500ms);
    CHECK(ledger.total(upstream).calls == 2);
    ledger.forget_silent(now + 3501ms, 3500ms);
    CHECK(ledger.total(upstream).calls == 0);
}

// A plain call takes 30 ms and holds no memory: a row of it is wrong before it arrives, and made
// entry VMs avoid upstreams that had nothing to do.
TEST_CASE("peers are told of what holds memory only", "[load_ledger]")
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
