#include <plumdale/coordination/report_watch.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

// Load pattern: engines are reclaimed every 3.3 s with notices of 1.5 s at the shortest, six entry
// VMs have drafts at each, and the platform's store is silent for 8 s. Figures: the notices and
// reports' delay of 0.5 s as they were observed on the users' days.

namespace
{

constexpr state::incarnation uptime{1};

member_load draft_at(state::member_key member, std::uint32_t tokens = 3'000)
{
    return {member, 1, tokens, tokens + 900, 0};
}

} // namespace

// A caller's draft breaks off: its engine was reclaimed while the store was silent, so nobody was
// told. The engine's report says so 0.5 s after the notice. It has to be asked early enough for a
// copy.
TEST_CASE("upstreams are asked while the platform is silent, in time for a copy",
          "[report_watch][load]")
{
    constexpr state::duration report_delay = 500ms;
    constexpr state::duration shortest_notice = 1'500ms;
    constexpr state::duration copy = 400ms;
    load_ledger ledger;
    ledger.add(state::member_key{7}, draft_at(state::member_key{7}));
    // The notice comes at any moment of the silence.
    for (state::duration noticed_at = 0ms; noticed_at < 8s; noticed_at += 130ms)
    {
        report_watch watch{state::node_id{1}};
        state::duration known_at = state::duration::max();
        for (state::duration t = 0ms; t < 10s && known_at == state::duration::max(); t += 50ms)
        {
            bool const asked = !watch.due(ledger, t, state::time_point{100s} + t).empty();
            known_at = asked && t >= noticed_at + report_delay ? t : known_at;
        }
        CHECK(known_at + copy <= noticed_at + shortest_notice);
    }
}

TEST_CASE("nobody is asked while the platform is heard", "[report_watch]")
{
    load_ledger ledger;
    ledger.add(state::member_key{7}, draft_at(state::member_key{7}));
    report_watch watch{state::node_id{1}};
    CHECK(watch.due(ledger, 900ms, state::time_point{10s}).empty());
    CHECK(watch.due(ledger, 1'100ms, state::time_point{11s}).size() == 1);
}

// Six VMs have drafts at each of fourteen engines. If each asked, reports would cost six times as
// much.
TEST_CASE("each upstream is asked by one of the VMs that have generations there",
          "[report_watch][load]")
{
    constexpr std::size_t vms = 6;
    std::array<load_ledger, vms> ledgers;
    std::vector<report_watch> watches;
    for (std::uint64_t vm = 0; vm < vms; ++vm)
    {
        watches.emplace_back(state::node_id{vm + 1});
        for (std::uint64_t member = 1; member <= 14; ++member)
        {
            state::member_key const key{member};
            ledgers[vm].add(key, draft_at(key));
            for (std::uint64_t peer = 0; peer < vms; ++peer)
            {
                std::array const told{draft_at(key)};
                if (peer != vm)
                {
                    ledgers[vm].take(state::node_id{peer + 1}, uptime, member, false, told,
                                     state::time_point{10s});
                }
            }
        }
    }
    std::map<state::member_key, int> asked;
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        for (state::member_key const member :
             watches[vm].due(ledgers[vm], 2s, state::time_point{12s}))
        {
            ++asked[member];
        }
    }
    CHECK(asked.size() == 14);
    CHECK(std::all_of(asked.begin(), asked.end(), [](auto const& row) { return row.second == 1; }));
}

TEST_CASE("reports are bounded, and those with the most to lose are asked first", "[report_watch]")
{
    load_ledger ledger;
    for (std::uint64_t member = 1; member <= 100; ++member)
    {
        state::member_key const key{member};
        ledger.add(key, draft_at(key, static_cast<std::uint32_t>(1'000 * member)));
    }
    report_watch watch{state::node_id{1}};
    auto const first = watch.due(ledger, 2s, state::time_point{12s});
    REQUIRE(first.size() == report_watch::most_asked);
    CHECK(first.front() == state::member_key{100});
    CHECK(watch.due(ledger, 2s, state::time_point{12s + 50ms}).empty());
    CHECK(watch.due(ledger, 2s, state::time_point{12s} + report_watch::interval).size() ==
          report_watch::most_asked);
}
