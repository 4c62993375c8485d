#include <plumdale/coordination/fleet_update.hpp>
#include <plumdale/coordination/pace_meter.hpp>
#include <plumdale/coordination/upstream_speeds.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::duration step = 100ms;
constexpr state::duration noise_window = 600ms;
constexpr state::duration stream_window = 300ms;
constexpr double noise_share = 0.15;
constexpr double noise_ratio = 2.5;

// Upstreams with speeds of their own, seen by entry VMs whose messages are half a second apart.
// Each VM has streams on a few upstreams; first events come once a second at each upstream.
struct observed_fleet
{
    std::vector<double> speeds;
    std::vector<upstream_speeds> vms;
    std::vector<double> vm_slowness;
    std::mt19937 random{7};
    state::time_point now{10s};
    std::vector<state::member_key> members;
    std::vector<bool> is_noisy;
    int false_alarms = 0;

    observed_fleet(std::vector<double> slowness, std::size_t vm_count)
        : speeds{std::move(slowness)}, vms(vm_count), vm_slowness(vm_count, 1.0),
          is_noisy(speeds.size(), false)
    {
        for (std::size_t i = 0; i < speeds.size(); ++i)
        {
            members.push_back(state::member_key{100 + i});
        }
    }

    [[nodiscard]] double draw()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(random);
    }

    [[nodiscard]] double observed(std::size_t vm, std::size_t upstream)
    {
        double const scatter = 0.9 + 0.2 * draw();
        return speeds[upstream] * (is_noisy[upstream] ? noise_ratio : 1.0) * vm_slowness[vm] *
               scatter;
    }

    // Three VMs at a time have streams on an upstream, others in turn.
    [[nodiscard]] bool streams(std::size_t vm, std::size_t upstream) const
    {
        auto const turn = static_cast<std::size_t>(now.time_since_epoch() / 5s);
        return (vm + 3 * upstream + turn) % vms.size() < 3;
    }

    void observe()
    {
        for (std::size_t upstream = 0; upstream < speeds.size(); ++upstream)
        {
            if (now.time_since_epoch() % noise_window == 0s)
            {
                is_noisy[upstream] = draw() < noise_share;
            }
            for (std::size_t vm = 0; vm < vms.size(); ++vm)
            {
                bool const is_due = now.time_since_epoch() % stream_window == 0s;
                if (is_due && streams(vm, upstream))
                {
                    vms[vm].note_pace(members[upstream], observed(vm, upstream), now);
                }
            }
            if (draw() < step / 1.0s)
            {
                std::size_t const vm = random() % vms.size();
                vms[vm].note_first_event(members[upstream], observed(vm, upstream), now);
            }
        }
    }

    void exchange(std::size_t from)
    {
        auto const rows = vms[from].own_rows(fleet_update::max_speeds, now);
        for (std::size_t to = 0; to < vms.size(); ++to)
        {
            if (to != from)
            {
                vms[to].apply_update(state::node_id{from + 1}, rows, now);
            }
        }
    }

    void run(state::duration time)
    {
        for (state::time_point const end = now + time; now < end; now += step)
        {
            observe();
            for (std::size_t vm = 0; vm < vms.size(); ++vm)
            {
                if ((now.time_since_epoch() / step + static_cast<int>(vm)) % 5 == 0)
                {
                    exchange(vm);
                }
                vms[vm].sweep(now);
                vms[vm].estimate(members, now);
                false_alarms += factors(vm, 0).is_uneven ? 1 : 0;
            }
        }
    }

    [[nodiscard]] speed_factors factors(std::size_t vm, std::size_t upstream) const
    {
        return vms[vm].factors(members[upstream]);
    }

    [[nodiscard]] bool all_see(std::size_t upstream, bool is_slow) const
    {
        return std::all_of(vms.begin(), vms.end(),
                           [&](upstream_speeds const& each)
                           { return (each.factors(members[upstream]).pace > 1.5) == is_slow; });
    }
};

std::vector<double> uneven_speeds()
{
    return {0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7};
}

} // namespace

// Load: 12 upstreams, a third of them 2.4 times as slow as the rest, windows of noise; nine VMs
// with three streams on each. A draft on a slow upstream is late by its pauses.
TEST_CASE("each VM knows which upstreams are slow although it sees few", "[upstream_speeds]")
{
    observed_fleet fleet{uneven_speeds(), 9};
    fleet.run(6s);
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm)
    {
        for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
        {
            CAPTURE(vm, i);
            CHECK(fleet.factors(vm, i).is_known);
            CHECK((fleet.factors(vm, i).pace > 1.2) == (fleet.speeds[i] > 1.0));
            CHECK((fleet.factors(vm, i).prefill > 1.2) == (fleet.speeds[i] > 1.0));
        }
    }
}

// Load: deployments with speeds 1, 1 and 1.3 and windows of noise. Guards against selections that
// change where upstreams are about equally fast.
TEST_CASE("upstreams of about equal speed all have factors of one", "[upstream_speeds]")
{
    observed_fleet fleet{{1.0, 1.0, 1.3, 1.0, 1.0, 1.3, 1.0, 1.0, 1.3, 1.0, 1.0, 1.3}, 9};
    fleet.run(20s);
    CHECK(fleet.false_alarms == 0);
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
    {
        CHECK(fleet.factors(0, i).is_known);
        CHECK(fleet.factors(0, i).pace == 1.0);
        CHECK(fleet.factors(0, i).prefill == 1.0);
    }
}

// Load: one upstream turns four times slower and is sound again after six seconds, with streams on
// it all the time. Callers lose what is sent there before it is seen.
TEST_CASE("an upstream that turns slow or sound is seen within two seconds", "[upstream_speeds]")
{
    observed_fleet fleet{std::vector<double>(9, 1.0), 9};
    fleet.run(6s);
    REQUIRE(fleet.all_see(4, false));
    fleet.speeds[4] = 4.0;
    fleet.run(2s);
    CHECK(fleet.all_see(4, true));
    CHECK(fleet.all_see(3, false));
    fleet.run(4s);
    fleet.speeds[4] = 1.0;
    fleet.run(2s);
    CHECK(fleet.all_see(4, false));
}

// Load: one of nine VMs has a slow processor, so that all that it observes takes four times as
// long.
TEST_CASE("a VM with a slow processor doesn't make sound upstreams slow", "[upstream_speeds]")
{
    observed_fleet fleet{std::vector<double>(9, 1.0), 9};
    fleet.vm_slowness[2] = 4.0;
    fleet.run(10s);
    CHECK(fleet.false_alarms == 0);
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
    {
        CHECK(fleet.all_see(i, false));
    }
}

// A VM reports the weights and ratios that it likes.
TEST_CASE("a VM that lies is outvoted by two that observe", "[upstream_speeds]")
{
    observed_fleet fleet{std::vector<double>(9, 1.0), 9};
    fleet.run(6s);
    std::vector<speed_row> lies;
    for (state::member_key const member : {fleet.members[0], fleet.members[1]})
    {
        lies.push_back({member, 32'000, 65'535, 32'000, 65'535});
    }
    for (upstream_speeds& each : fleet.vms)
    {
        each.apply_update(state::node_id{99}, lies, fleet.now);
        each.estimate(fleet.members, fleet.now);
    }
    CHECK(fleet.all_see(0, false));
    CHECK(fleet.all_see(1, false));
}

// Load: a VM starts while callers come. Until it knows the speeds it sends drafts to slow
// upstreams.
TEST_CASE("a VM that joins knows all speeds after one round of messages", "[upstream_speeds]")
{
    observed_fleet fleet{uneven_speeds(), 9};
    fleet.run(6s);
    upstream_speeds joined;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm)
    {
        joined.apply_update(state::node_id{vm + 1},
                            fleet.vms[vm].own_rows(fleet_update::max_speeds, fleet.now), fleet.now);
    }
    joined.estimate(fleet.members, fleet.now);
    for (std::size_t i = 0; i < fleet.speeds.size(); ++i)
    {
        CHECK((joined.factors(fleet.members[i]).pace > 1.2) == (fleet.speeds[i] > 1.0));
    }
}

// Long answers avoid a slow upstream, so nothing may be observed there for a while; a new
// incarnation has a speed of its own.
TEST_CASE("an upstream without observations stays slow for a time, a new one is as the middle",
          "[upstream_speeds]")
{
    observed_fleet fleet{uneven_speeds(), 9};
    fleet.run(6s);
    std::vector<state::member_key> members = fleet.members;
    members.push_back(state::member_key{999});
    upstream_speeds& vm = fleet.vms[0];
    vm.estimate(members, fleet.now);
    CHECK_FALSE(vm.factors(members.back()).is_known);
    CHECK(vm.factors(members.back()).pace == vm.factors(members[0]).pace);
    vm.estimate(members, fleet.now + 9s);
    CHECK(vm.factors(members[2]).pace > 1.2);
    vm.estimate(members, fleet.now + 20s);
    CHECK_FALSE(vm.factors(members[2]).is_uneven);
}

// Guards against messages that grow with the number of upstreams.
TEST_CASE("a message has the rows with the newest observations", "[upstream_speeds]")
{
    upstream_speeds speeds;
    state::time_point const now{10s};
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        speeds.note_pace(state::member_key{i}, 1.0, now + std::chrono::milliseconds{i});
    }
    auto const rows = speeds.own_rows(fleet_update::max_speeds, now + 50ms);
    REQUIRE(rows.size() == fleet_update::max_speeds);
    CHECK(rows.front().member == state::member_key{49});
    CHECK(speeds.own_rows(fleet_update::max_speeds, now + 30s).empty());
}

TEST_CASE("a stream's pace is measured over windows, not while its caller holds it up",
          "[upstream_speeds]")
{
    pace_meter meter;
    state::time_point now{10s};
    meter.begin(now);
    CHECK_FALSE(meter.add(100ms, now += 200ms));
    CHECK(meter.add(100ms, now += 200ms) == 2.0);
    CHECK_FALSE(meter.add(100ms, now += 100ms));
    meter.interrupt();
    CHECK_FALSE(meter.finish());
    CHECK_FALSE(meter.add(100ms, now += 5s));
    CHECK_FALSE(meter.add(100ms, now += 100ms));
    CHECK_FALSE(meter.add(100ms, now += 100ms));
    CHECK(meter.finish() == 1.0);
}
