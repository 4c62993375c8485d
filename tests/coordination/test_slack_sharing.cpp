#include <plumdale/coordination/fleet_retry_budget.hpp>
#include <plumdale/coordination/slack_sharing.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point begin{1'000s};
constexpr state::duration window = 10s;
constexpr state::duration usual_start = window + slack_sharing::settling_time;

state::node_id node(std::size_t index)
{
    return state::id_from_name<state::node_id>("vm-" + std::to_string(index));
}

/// \brief One incarnation of an entry VM.
struct entry_vm
{
    entry_vm(std::size_t number, fleet_retry_limit limit, double rounding,
             state::time_point started)
        : self{node(number)}, fleet{self},
          sharing{fleet, self, {node(0), node(1), node(2)}, started, limit.window}, budget{limit,
                                                                                           rounding}
    {
    }

    void hear_from(std::size_t peer, state::time_point now)
    {
        fleet_update update;
        update.sender = node(peer);
        update.incarnation_number = state::incarnation{1};
        update.sequence = ++sequence;
        fleet.apply_update(update, {}, 0, now);
    }

    state::node_id self;
    fleet_view fleet;
    slack_sharing sharing;
    fleet_retry_budget budget;
    std::uint64_t sequence = 0;
};

entry_vm new_vm(std::size_t number)
{
    return {number, {0.2, 52.0, window}, 0.0, begin};
}

/// \brief Arrivals of one service beyond the first of each request, and requests, as they come.
struct arrivals
{
    std::deque<state::time_point> requests;
    std::deque<state::time_point> repeats;

    static double in(std::deque<state::time_point> const& times, state::time_point from)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), from + window) -
                                   std::lower_bound(times.begin(), times.end(), from));
    }

    /// \brief Returns the largest excess over the limit in any window that begins with a repeat.
    [[nodiscard]] double worst_excess(fleet_retry_limit limit) const
    {
        double worst = -limit.slack;
        for (state::time_point const from : repeats)
        {
            double const calls = std::max(
                {in(requests, from), in(requests, from - window), in(requests, from - window / 2)});
            worst = std::max(worst, in(repeats, from) - limit.ratio * calls - limit.slack);
        }
        return worst;
    }
};

/// \brief A fleet whose VMs lose power and are cut off, while all of their calls ask for repeats.
struct failing_fleet
{
    failing_fleet(std::size_t vms, fleet_retry_limit chosen, unsigned seed)
        : limit{chosen}, random{seed}, members(vms)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            start(i, begin - 60s);
        }
        for (state::duration at = -60s; at < -40s; at += 500ms)
        {
            exchange_messages(begin + at);
        }
    }

    void start(std::size_t vm, state::time_point now)
    {
        std::uniform_real_distribution<double> uniform{0.0, 1.0};
        std::mt19937 own{static_cast<unsigned>(vm)};
        members[vm] = std::make_unique<entry_vm>(vm, limit, uniform(own), now);
    }

    void exchange_messages(state::time_point now)
    {
        for (std::size_t to = 0; to < members.size(); ++to)
        {
            for (std::size_t from = 0; from < members.size(); ++from)
            {
                bool const is_cut = (to < cut_off) != (from < cut_off);
                if (to != from && !is_cut)
                {
                    members[to]->hear_from(from, now);
                }
            }
        }
    }

    /// \brief Has callers send `per_second` calls, and each VM spend all that it may.
    void run(state::time_point now, double per_second, state::duration step)
    {
        std::poisson_distribution<int> calls{per_second *
                                             std::chrono::duration<double>(step).count()};
        std::uniform_int_distribution<std::size_t> vm{0, members.size() - 1};
        for (int i = calls(random); i > 0; --i)
        {
            seen.requests.push_back(now);
            members[vm(random)]->budget.note_call(now);
        }
        for (auto const& each : members)
        {
            std::size_t const sharers = each->sharing.sharers(now);
            while (each->budget.take(now, sharers, retry_priority::preferred))
            {
                seen.repeats.push_back(now);
            }
        }
    }

    fleet_retry_limit limit;
    std::mt19937 random;
    std::vector<std::unique_ptr<entry_vm>> members;
    /// \brief VMs with a lower number are cut off from the others.
    std::size_t cut_off = 0;
    arrivals seen;
};

constexpr state::duration step = 50ms;

} // namespace

// -- one VM ---------------------------------------------------------------------------------------

// Guards against a part that a VM's former process has just spent.
TEST_CASE("a VM has no part of the slack until a window after its start", "[slack_sharing]")
{
    entry_vm vm = new_vm(0);
    for (state::duration at = 0s; at <= usual_start; at += 500ms)
    {
        vm.hear_from(1, begin + at);
        CHECK(vm.sharing.sharers(begin + at) == (at < usual_start ? 0 : 2));
    }
}

// Guards against VMs behind a cut that divide the whole slack among themselves.
TEST_CASE("a VM that started behind a cut has no part of the slack", "[slack_sharing]")
{
    entry_vm vm = new_vm(4);
    for (state::duration at = 0s; at < 60s; at += 500ms)
    {
        vm.hear_from(0, begin + at);
        vm.hear_from(5, begin + at);
    }
    CHECK(vm.sharing.sharers(begin + 60s) == 0);
    vm.hear_from(1, begin + 60s);
    vm.hear_from(1, begin + 62s);
    CHECK(vm.sharing.sharers(begin + 62s) == 4);
}

// Guards against callers that have nothing left for as long as their VM is cut off.
TEST_CASE("a VM that is cut off keeps its part of the slack", "[slack_sharing]")
{
    entry_vm vm = new_vm(4);
    for (state::duration at = 0s; at <= usual_start; at += 500ms)
    {
        vm.hear_from(0, begin + at);
        vm.hear_from(1, begin + at);
    }
    REQUIRE(vm.sharing.sharers(begin + usual_start) == 3);
    CHECK(vm.sharing.sharers(begin + 120s) == 3);
}

// Guards against parts that are as large as in a small fleet while its VMs discover each other.
TEST_CASE("a VM has no part of the slack while peers are discovered", "[slack_sharing]")
{
    entry_vm vm = new_vm(0);
    state::time_point now = begin + usual_start;
    for (std::size_t peer = 1; peer < 9; ++peer)
    {
        vm.hear_from(peer, now);
        CHECK(vm.sharing.sharers(now) == 0);
        now += 500ms;
    }
    now += slack_sharing::settling_time;
    for (std::size_t peer = 1; peer < 9; ++peer)
    {
        vm.hear_from(peer, now);
    }
    CHECK(vm.sharing.sharers(now) == 9);
}

// -- a fleet --------------------------------------------------------------------------------------

// Guards against repeats beyond the limit when VMs lose power again and again, alone and together.
TEST_CASE("a fleet keeps its retry limit through losses of power", "[slack_sharing][load]")
{
    unsigned const seed = GENERATE(range(1U, 9U));
    failing_fleet fleet{6, {0.2, 52.0, window}, seed};
    for (state::duration at = 0s; at < 60s; at += step)
    {
        state::time_point const now = begin + at;
        bool const all_start = at == 15s || at == 17s || at == 24s || at == 40s;
        for (std::size_t vm = 0; vm < 6; ++vm)
        {
            bool const starts = std::uniform_int_distribution<int>{0, 400}(fleet.random) == 0;
            if (all_start || starts)
            {
                fleet.start(vm, now);
            }
        }
        if (at % 500ms == 0ms)
        {
            fleet.exchange_messages(now);
        }
        fleet.run(now, at % 20s < 10s ? 40.0 : 5.0, step);
    }
    CHECK(fleet.seen.worst_excess(fleet.limit) <= 0.0);
    CHECK(fleet.seen.repeats.size() > 100);
}

// Guards against two sides of a cut that each spend the slack of the whole fleet.
TEST_CASE("a fleet keeps its retry limit through a cut behind which VMs start", "[slack_sharing]")
{
    bool const larger_side_starts = GENERATE(false, true);
    failing_fleet fleet{12, {0.2, 58.0, window}, 7};
    for (state::duration at = 0s; at < 60s; at += step)
    {
        state::time_point const now = begin + at;
        fleet.cut_off = at < 45s ? 2 : 0;
        bool const starts = at == 1s;
        for (std::size_t vm = 0; starts && vm < 12; ++vm)
        {
            if ((vm >= fleet.cut_off) == larger_side_starts)
            {
                fleet.start(vm, now);
            }
        }
        if (at % 500ms == 0ms)
        {
            fleet.exchange_messages(now);
        }
        fleet.run(now, 20.0, step);
    }
    CHECK(fleet.seen.worst_excess(fleet.limit) <= 0.0);
}

// Guards against a slack that is lost because it is divided by more VMs than it has retries.
TEST_CASE("a fleet of any size can use most of its slack", "[slack_sharing][load]")
{
    struct size
    {
        std::size_t vms;
        double slack;
    };
    auto const chosen =
        GENERATE(size{6, 52.0}, size{60, 160.0}, size{295, 630.0}, size{584, 640.0});
    fleet_retry_limit const limit{0.2, chosen.slack, window};
    double usable = 0.0;
    for (std::size_t i = 0; i < chosen.vms; ++i)
    {
        double const rounding =
            static_cast<double>(state::mix(node(i).value, 1)) / static_cast<double>(UINT64_MAX);
        fleet_retry_budget budget{limit, rounding};
        while (budget.take(begin, chosen.vms, retry_priority::preferred))
        {
            usable += 1.0;
        }
    }
    CHECK(usable <= limit.slack);
    CHECK(usable >= 0.6 * limit.slack);
}

// Guards against second tries, whose callers may come back, that leave nothing to broken drafts.
TEST_CASE("yielding retries leave half of what a VM may spend to preferred ones",
          "[fleet_retry_budget]")
{
    fleet_retry_budget budget{{0.0, 20.0, window}};
    int yielding = 0;
    int preferred = 0;
    while (budget.take(begin, 1, retry_priority::yielding))
    {
        ++yielding;
    }
    while (budget.take(begin, 1, retry_priority::preferred))
    {
        ++preferred;
    }
    CHECK(yielding == 7);
    CHECK(preferred == 7);
}
