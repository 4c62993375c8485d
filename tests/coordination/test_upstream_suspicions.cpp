#include <plumdale/coordination/outlier_detector.hpp>
#include <plumdale/coordination/upstream_suspicions.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<std::string_view, 3> zone_names{"a", "b", "c"};

state::zone_id zone(std::size_t number)
{
    return state::id_from_name<state::zone_id>(zone_names[number % zone_names.size()]);
}

state::time_point at(state::duration time)
{
    return state::time_point{} + 1h + time;
}

/// \brief Entry VMs and upstreams, each evenly over three zones; VM 0 is in zone a.
struct fleet_fixture
{
    explicit fleet_fixture(std::size_t vm_count, std::size_t upstream_count = 9)
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            upstreams.push_back(list("i-" + std::to_string(i), i, {}));
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            peers.push_back({state::node_id{1'000 + i}, zone(i)});
            vms.push_back(
                std::make_unique<upstream_suspicions>(directory, peers[i].node, peers[i].zone));
        }
    }

    state::member_key list(std::string const& name, std::size_t zone_number,
                           state::incarnation started)
    {
        state::service_member member;
        member.name = name;
        member.service = "engine";
        member.zone = zone_names[zone_number % zone_names.size()];
        member.started = started;
        member.revision = 1;
        directory.merge(member, at(0s));
        return state::key_of(member);
    }

    /// \brief Delivers what a VM has to say to all others; returns the number of rows.
    std::size_t tell(std::size_t from, state::time_point now)
    {
        auto const rows = vms[from]->unreported(now);
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (i != from)
            {
                vms[i]->apply_update(peers[from].node, peers[from].zone, rows, now);
            }
        }
        return rows.size();
    }

    service_directory directory;
    std::vector<zoned_vm> peers;
    std::vector<state::member_key> upstreams;
    std::vector<std::unique_ptr<upstream_suspicions>> vms;
};

} // namespace

TEST_CASE("a refused connection makes all VMs suspect the upstream until it answers",
          "[upstream_suspicions]")
{
    fleet_fixture fleet{6};
    state::member_key const gone = fleet.upstreams[0];
    fleet.vms[0]->note(gone, suspicion_kind::refused, at(0ms));
    CHECK(fleet.tell(0, at(1ms)) == 1);
    for (auto const& vm : fleet.vms)
    {
        CHECK(vm->is_suspected(gone, at(2ms)));
    }
    fleet.vms[4]->note(gone, suspicion_kind::answered, at(500ms));
    CHECK(fleet.tell(4, at(501ms)) == 1);
    for (auto const& vm : fleet.vms)
    {
        CHECK_FALSE(vm->is_suspected(gone, at(502ms)));
    }
}

// Guards against an answer to each call that is told to the whole fleet.
TEST_CASE("answers of upstreams that nobody suspects are told to nobody", "[upstream_suspicions]")
{
    fleet_fixture fleet{3};
    for (state::member_key const each : fleet.upstreams)
    {
        fleet.vms[0]->note(each, suspicion_kind::answered, at(0ms));
    }
    CHECK(fleet.vms[0]->unreported(at(1ms)).empty());
}

// Guards against a VM behind a lossy link whose time-outs keep all others off sound upstreams.
TEST_CASE("time-outs of one VM make no suspicion, those of two do", "[upstream_suspicions]")
{
    fleet_fixture fleet{6};
    state::member_key const slow = fleet.upstreams[0];
    fleet.vms[0]->note(slow, suspicion_kind::timed_out, at(0ms));
    CHECK(fleet.tell(0, at(1ms)) == 0);
    fleet.vms[0]->note(slow, suspicion_kind::timed_out, at(350ms));
    CHECK(fleet.tell(0, at(351ms)) == 1);
    CHECK_FALSE(fleet.vms[0]->is_suspected(slow, at(352ms)));
    CHECK_FALSE(fleet.vms[3]->is_suspected(slow, at(352ms)));
    fleet.vms[3]->note(slow, suspicion_kind::timed_out, at(400ms));
    fleet.vms[3]->note(slow, suspicion_kind::timed_out, at(750ms));
    fleet.tell(3, at(751ms));
    CHECK(fleet.vms[0]->is_suspected(slow, at(752ms)));
    CHECK(fleet.vms[1]->is_suspected(slow, at(752ms)));
}

// Guards against an upstream that hangs 1.5 s and counts as gone after it went on.
TEST_CASE("an upstream that hangs and goes on is not suspected", "[upstream_suspicions]")
{
    fleet_fixture fleet{6};
    state::member_key const hung = fleet.upstreams[0];
    for (state::duration time{0}; time < 1'400ms; time += 350ms)
    {
        for (std::size_t const i : {0U, 3U, 1U})
        {
            fleet.vms[i]->note(hung, suspicion_kind::timed_out, at(time));
            fleet.tell(i, at(time + 1ms));
        }
    }
    fleet.vms[3]->note(hung, suspicion_kind::answered, at(1'500ms));
    fleet.tell(3, at(1'550ms));
    for (auto const& vm : fleet.vms)
    {
        CHECK_FALSE(vm->is_suspected(hung, at(1'551ms)));
        CHECK(vm->take_due_probes(fleet.peers, at(3s)).empty());
    }
}

// Guards against a VM that lost its own paths by resets and has the others avoid what they reach.
TEST_CASE("a VM that is cut from a zone tells of two upstreams at most, and answers refute them",
          "[upstream_suspicions]")
{
    fleet_fixture fleet{6, 30};
    std::size_t rows = 0;
    for (std::size_t i = 0; i < fleet.upstreams.size(); i += 3)
    {
        fleet.vms[0]->note(fleet.upstreams[i], suspicion_kind::refused, at(1ms * i));
        rows += fleet.tell(0, at(1ms * i));
    }
    CHECK(rows < upstream_suspicions::max_failed_in_zone);
    std::size_t suspected = 0;
    for (state::member_key const each : fleet.upstreams)
    {
        fleet.vms[3]->note(each, suspicion_kind::answered, at(90ms));
        suspected += fleet.vms[3]->is_suspected(each, at(91ms)) ? 1 : 0;
    }
    CHECK(suspected == 0);
}

// Guards against a VM that says of one upstream after another that it refuses.
TEST_CASE("a VM whose refusals answers refute needs a second one", "[upstream_suspicions]")
{
    fleet_fixture fleet{6};
    suspicion_row lie{{}, suspicion_kind::refused, {}};
    for (std::size_t i = 0; i < upstream_suspicions::max_refuted; ++i)
    {
        lie.member = fleet.upstreams[i];
        fleet.vms[0]->apply_update(state::node_id{7}, zone(0), std::array{lie}, at(1s * i));
        fleet.vms[0]->note(lie.member, suspicion_kind::answered, at(1s * i + 80ms));
    }
    lie.member = fleet.upstreams[8];
    fleet.vms[0]->apply_update(state::node_id{7}, zone(0), std::array{lie}, at(4s));
    CHECK_FALSE(fleet.vms[0]->is_suspected(lie.member, at(4s)));
    fleet.vms[0]->apply_update(state::node_id{8}, zone(0), std::array{lie}, at(4s));
    CHECK(fleet.vms[0]->is_suspected(lie.member, at(4s)));
}

// Guards against VMs outside a zone that is cut by resets, which keep those inside off their own
// upstreams.
TEST_CASE("findings of other zones don't count for upstreams of the own", "[upstream_suspicions]")
{
    fleet_fixture fleet{9};
    state::member_key const inside = fleet.upstreams[2];
    for (std::size_t const outside : {0U, 1U, 3U, 4U})
    {
        fleet.vms[outside]->note(inside, suspicion_kind::refused, at(0ms));
        fleet.tell(outside, at(1ms));
    }
    CHECK(fleet.vms[0]->is_suspected(inside, at(2ms)));
    CHECK_FALSE(fleet.vms[2]->is_suspected(inside, at(2ms)));
    CHECK_FALSE(fleet.vms[5]->is_suspected(inside, at(2ms)));
}

// Guards against a new upstream that is avoided as its address once refused.
TEST_CASE("another start at the same address is not suspected", "[upstream_suspicions]")
{
    fleet_fixture fleet{3};
    state::member_key const former = fleet.list("i-x", 0, state::incarnation{5});
    state::member_key const later = fleet.list("i-x", 0, state::incarnation{6});
    fleet.vms[0]->note(former, suspicion_kind::refused, at(0ms));
    CHECK(fleet.vms[0]->is_suspected(former, at(1ms)));
    CHECK_FALSE(fleet.vms[0]->is_suspected(later, at(1ms)));
}

// Guards against probes by all VMs at once, and against none when the first in rank is silent.
TEST_CASE("one VM at a time probes a suspected upstream", "[upstream_suspicions]")
{
    fleet_fixture fleet{9};
    state::member_key const gone = fleet.upstreams[0];
    fleet.vms[0]->note(gone, suspicion_kind::refused, at(0ms));
    fleet.tell(0, at(0ms));
    std::vector<state::duration> probes;
    for (state::duration time{0}; time < 2s; time += 10ms)
    {
        for (auto const& vm : fleet.vms)
        {
            probes.insert(probes.end(), vm->take_due_probes(fleet.peers, at(time)).size(), time);
        }
    }
    // Nobody hears of a probe: the ranks follow each other.
    REQUIRE(probes.size() >= 9);
    CHECK(probes[0] == upstream_suspicions::min_probe_interval);
    CHECK(probes[1] == probes[0] + upstream_suspicions::succession_delay);
    fleet_fixture heard{9};
    heard.vms[0]->note(gone, suspicion_kind::refused, at(0ms));
    heard.tell(0, at(0ms));
    std::size_t count = 0;
    for (state::duration time{0}; time < 3s; time += 10ms)
    {
        for (std::size_t i = 0; i < heard.vms.size(); ++i)
        {
            if (!heard.vms[i]->take_due_probes(heard.peers, at(time)).empty())
            {
                ++count;
                heard.vms[i]->note(gone, suspicion_kind::refused, at(time));
                heard.tell(i, at(time));
            }
        }
    }
    CHECK(count <= 6);
    CHECK(heard.vms[8]->is_suspected(gone, at(3s)));
}

// Guards against suspicions that stay when nobody renews them, and against memory without bound.
TEST_CASE("suspicions age out, and their number is bounded", "[upstream_suspicions]")
{
    fleet_fixture fleet{3, 2 * upstream_suspicions::max_records};
    for (std::size_t i = 0; i < fleet.upstreams.size(); ++i)
    {
        fleet.vms[0]->note(fleet.upstreams[i], suspicion_kind::refused, at(1ms * i));
    }
    CHECK(fleet.vms[0]->take_changes(at(2s)).size() == upstream_suspicions::max_records);
    state::time_point const later = at(2s + upstream_suspicions::lifetime);
    CHECK_FALSE(fleet.vms[0]->is_suspected(fleet.upstreams.back(), later));
    static_cast<void>(fleet.vms[0]->take_changes(later));
    fleet.vms[0]->sweep(later);
    CHECK(fleet.vms[0]->empty());
}

namespace
{

struct reclaim_run
{
    std::size_t failed_tries = 0;
    std::size_t sound_suspected = 0;
};

/// \brief 81 VMs make 12 calls a second each while a sixth of 57 upstreams is gone; messages take
/// 10 to 80 ms, and one of twenty is lost.
reclaim_run run_reclaim(bool is_shared)
{
    constexpr std::size_t vm_count = 81;
    constexpr std::size_t upstream_count = 57;
    fleet_fixture fleet{vm_count, upstream_count};
    std::vector<outlier_detector> health{vm_count};
    std::minstd_rand random{3};
    struct message
    {
        state::time_point due;
        std::size_t from;
        std::size_t to;
        std::vector<suspicion_row> rows;
    };
    std::vector<message> messages;
    auto const is_gone = [](std::size_t upstream)
    {
        return upstream % 6 == 0;
    };
    reclaim_run result;
    for (state::duration time{0}; time < 3'300ms; time += 5ms)
    {
        state::time_point const now = at(time);
        std::erase_if(messages,
                      [&](message const& each)
                      {
                          bool const is_due = now >= each.due;
                          if (is_due)
                          {
                              fleet.vms[each.to]->apply_update(fleet.peers[each.from].node,
                                                               fleet.peers[each.from].zone,
                                                               each.rows, now);
                          }
                          return is_due;
                      });
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            upstream_suspicions& known = *fleet.vms[vm];
            auto const connect = [&](std::size_t upstream)
            {
                known.note(fleet.upstreams[upstream],
                           is_gone(upstream) ? suspicion_kind::refused : suspicion_kind::answered,
                           now);
            };
            bool const is_call = random() % 1000 < 60;
            for (int tries = 0; is_call && tries < 6; ++tries)
            {
                std::size_t best = random() % upstream_count;
                for (int i = 0; i < 8; ++i)
                {
                    state::member_key const key = fleet.upstreams[best];
                    bool const is_avoided = health[vm].penalty(key, now) >= 1.0 ||
                                            (is_shared && known.is_suspected(key, now));
                    best = is_avoided ? random() % upstream_count : best;
                }
                connect(best);
                if (!is_gone(best))
                {
                    break;
                }
                ++result.failed_tries;
                health[vm].note(fleet.upstreams[best], call_result::unreachable, now);
            }
            bool const is_tick = time % 50ms == state::duration{0};
            for (state::member_key const due : is_tick ? known.take_due_probes(fleet.peers, now)
                                                       : std::vector<state::member_key>{})
            {
                connect(static_cast<std::size_t>(
                    std::find(fleet.upstreams.begin(), fleet.upstreams.end(), due) -
                    fleet.upstreams.begin()));
            }
            auto const rows = known.unreported(now);
            for (std::size_t to = 0; !rows.empty() && to < vm_count; ++to)
            {
                if (to != vm && random() % 20 != 0)
                {
                    messages.push_back({now + 10ms + 1ms * (random() % 70), vm, to, rows});
                }
            }
        }
    }
    for (std::size_t i = 0; i < upstream_count; ++i)
    {
        result.sound_suspected +=
            !is_gone(i) && fleet.vms[40]->is_suspected(fleet.upstreams[i], at(3'300ms)) ? 1 : 0;
    }
    return result;
}

} // namespace

// Guards against VMs that each find each upstream that is gone while the store is silent.
TEST_CASE("while the store is silent few calls try upstreams that are gone",
          "[upstream_suspicions]")
{
    reclaim_run const off = run_reclaim(false);
    reclaim_run const on = run_reclaim(true);
    CAPTURE(off.failed_tries, on.failed_tries);
    CHECK(off.failed_tries > 300);
    CHECK(5 * on.failed_tries < off.failed_tries);
    CHECK(on.sound_suspected == 0);
}
