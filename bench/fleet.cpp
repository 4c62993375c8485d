// Many control planes in virtual time: the time until a preset is in force everywhere, the time
// until all members know that an entry VM is dead, and small fleets under random faults over many
// seeds.
// usage: bench_fleet [in_force|detection]... | bench_fleet seeds FIRST COUNT

#include "tests/coordination/fleet_scenario.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <string_view>
using namespace plumdale;
using namespace plumdale::testing;

namespace
{

struct fleet_size
{
    std::size_t nodes;
    std::size_t zones;
};

constexpr std::array<fleet_size, 4> sizes{{{9, 3}, {27, 3}, {100, 7}, {380, 14}}};
constexpr state::duration warm_up = 12s;

[[nodiscard]] double seconds(state::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// \brief A sample of durations and its quantiles.
class sample
{
public:
    void add(state::duration time)
    {
        times_.push_back(seconds(time));
    }
    [[nodiscard]] std::string text()
    {
        if (times_.empty())
        {
            return "none";
        }
        std::sort(times_.begin(), times_.end());
        auto const at = [this](double share)
        {
            return times_[static_cast<std::size_t>(share * double(times_.size() - 1))];
        };
        std::array<char, 80> line{};
        std::snprintf(line.data(), line.size(), "p50 %.3f s, p99 %.3f s, worst %.3f s", at(0.5),
                      at(0.99), at(1));
        return line.data();
    }

private:
    std::vector<double> times_;
};

// -- time until in force -----------------------------------------------------------------------

enum class service_state
{
    up,
    stale,
    down
};

/// \brief Adds the time after which each node has `preset` in force; returns the number of nodes
/// that do not have it in force after 30 s.
[[nodiscard]] std::size_t time_in_force(fleet_loop& loop, state::preset_id preset, sample& times)
{
    state::time_point const begin = loop.now();
    std::vector<bool> has(loop.nodes().size());
    std::size_t left = has.size();
    while (left > 0 && loop.now() < begin + 30s)
    {
        loop.run_for(2ms);
        for (std::size_t i = 0; i < has.size(); ++i)
        {
            if (!has[i] && loop.fleet(i)->in_force.preset == preset)
            {
                has[i] = true;
                --left;
                times.add(loop.now() - begin);
            }
        }
    }
    return left;
}

void measure_in_force(fleet_size size, service_state service, double loss)
{
    sample times;
    std::size_t missing = 0;
    std::size_t not_accepted = 0;
    std::size_t const trials = size.nodes > 200 ? 3 : 10;
    for (std::uint64_t seed = 1; seed <= trials; ++seed)
    {
        fleet_loop loop{size.nodes, size.zones, seed};
        publish_base_configuration(loop);
        loop.run_for(warm_up);
        loop.loss = loss;
        loop.run_for(seed * 61ms);
        if (service == service_state::up)
        {
            state::preset changed;
            changed.name = "peak";
            changed.max_batch = 7;
            loop.publish(
                7, preset_published{7, changed, std::make_shared<std::string const>("changed")});
            loop.publish(8, switch_published{8, preset_named("peak")});
        }
        else
        {
            loop.platform.visible_revision = 6;
            loop.platform.down = service == service_state::down;
            loop.run_for(5s);
            loop.send(seed % size.nodes,
                      operator_switch{{1}, operator_key(1), preset_named("peak"), 0});
        }
        missing += time_in_force(loop, preset_named("peak"), times);
        loop.run_for(6s);
        bool const accepted = !loop.answers.empty() &&
                              loop.answers[0].second.answer.outcome == switch_outcome::accepted;
        not_accepted += service == service_state::up || accepted ? 0 : 1;
    }
    constexpr std::array<char const*, 3> names{"up", "stale", "down"};
    std::printf("in force: %3zu nodes, service %-5s, loss %2.0f%%: %s, missing %zu, "
                "not accepted %zu\n",
                size.nodes, names[static_cast<std::size_t>(service)], loss * 100,
                times.text().c_str(), missing, not_accepted);
    std::fflush(stdout);
}

// -- detection ---------------------------------------------------------------------------------

void measure_detection(fleet_size size, double loss)
{
    sample first;
    sample all;
    std::size_t const trials = size.nodes > 200 ? 4 : 20;
    for (std::uint64_t seed = 1; seed <= trials; ++seed)
    {
        fleet_loop loop{size.nodes, size.zones, seed};
        publish_base_configuration(loop);
        loop.run_for(warm_up);
        loop.loss = loss;
        loop.run_for(1s + seed * 61ms);
        std::size_t const victim = (seed * 37) % size.nodes;
        loop.stop(victim);
        state::time_point const begin = loop.now();
        std::size_t known = 0;
        while (known + 1 < size.nodes && loop.now() < begin + 60s)
        {
            loop.run_for(10ms);
            std::size_t const before = known;
            known = 0;
            for (std::size_t i = 0; i < size.nodes; ++i)
            {
                auto const fleet = i == victim ? nullptr : loop.fleet(i);
                auto const* const member =
                    fleet ? fleet->find_member(fleet_loop::id_of(victim)) : nullptr;
                known += member != nullptr && member->health == state::member_health::dead ? 1 : 0;
            }
            if (before == 0 && known > 0)
            {
                first.add(loop.now() - begin);
            }
        }
        all.add(loop.now() - begin);
    }
    std::printf("dead VM: %3zu nodes, loss %2.0f%%: first %s; known to all %s\n", size.nodes,
                loss * 100, first.text().c_str(), all.text().c_str());
    std::fflush(stdout);
}

void measure_false_suspicion(fleet_size size, double loss, state::duration pause)
{
    fleet_loop loop{size.nodes, size.zones, 5};
    publish_base_configuration(loop);
    loop.run_for(warm_up);
    loop.loss = loss;
    std::set<std::pair<state::node_id, std::uint32_t>> suspected;
    std::set<std::pair<state::node_id, std::uint32_t>> dead;
    std::size_t paused = size.nodes;
    std::size_t pauses = 0;
    state::time_point wake_at{};
    state::time_point const end = loop.now() + 60s;
    while (loop.now() < end)
    {
        if (pause > state::duration{} && loop.now() >= wake_at)
        {
            if (paused < size.nodes)
            {
                loop.wake(paused, false);
            }
            paused = (++pauses * 7) % size.nodes;
            loop.pause(paused);
            wake_at = loop.now() + pause;
        }
        loop.run_for(100ms);
        for (std::size_t i = 0; i < size.nodes; ++i)
        {
            for (state::member const& each : loop.fleet(i)->members)
            {
                if (each.health == state::member_health::suspect)
                {
                    suspected.emplace(each.id, each.refutation);
                }
                if (each.health == state::member_health::dead)
                {
                    dead.emplace(each.id, each.refutation);
                }
            }
        }
    }
    std::printf("false: %3zu nodes, loss %2.0f%%, pauses of %.1f s (%zu): %.4f suspicions and "
                "%.4f deaths a node and hour\n",
                size.nodes, loss * 100, seconds(pause), pauses,
                double(suspected.size()) * 60 / double(size.nodes),
                double(dead.size()) * 60 / double(size.nodes));
    std::fflush(stdout);
}

// -- runs --------------------------------------------------------------------------------------

void run_in_force()
{
    for (fleet_size const size : sizes)
    {
        for (auto const service : {service_state::up, service_state::stale, service_state::down})
        {
            measure_in_force(size, service, 0);
        }
        measure_in_force(size, service_state::down, 0.1);
    }
}

void run_detection()
{
    for (fleet_size const size : sizes)
    {
        for (double const loss : {0.0, 0.01, 0.1})
        {
            measure_detection(size, loss);
            measure_false_suspicion(size, loss, 0s);
        }
        measure_false_suspicion(size, 0, 1s);
        measure_false_suspicion(size, 0, 2s);
    }
}

void run_seeds(std::uint64_t first, std::uint64_t count)
{
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        violations const found = fleet_scenario{seed}.run();
        if (found.count() != 0)
        {
            std::printf("seed %llu: reverts %zu, served old %zu, lost switches %zu, divergence "
                        "%zu, leaving %zu, "
                        "late marks %zu, members %zu, silent answers %zu\n",
                        static_cast<unsigned long long>(seed), found.reverts, found.served_old,
                        found.lost_switches, found.divergence, found.leaving_offered,
                        found.late_marks, found.members_not_alive,
                        found.missing_or_repeated_answers);
            ++failed;
        }
    }
    std::printf("seeds %llu to %llu: %zu with a violation\n",
                static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(first + count - 1), failed);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string_view> wanted{argv + 1, argv + argc};
    if (wanted.size() == 3 && wanted.front() == "seeds")
    {
        run_seeds(std::stoull(argv[2]), std::stoull(argv[3]));
        return 0;
    }
    if (wanted.empty())
    {
        wanted = {"in_force", "detection"};
    }
    for (std::string_view const each : wanted)
    {
        if (each == "in_force")
        {
            run_in_force();
        }
        else if (each == "detection")
        {
            run_detection();
        }
    }
}
