#pragma once

#include "control_checker.hpp"

#include <array>

/// \file
/// \brief Small fleets under random faults, with checks of what every node has in force.

namespace plumdale::testing
{

/// \brief One fleet of six nodes in three zones for about 70 s of virtual time.
///
/// One VM at a time restarts without state or pauses, zones are partitioned from each other and
/// from the service, datagrams are lost, the service goes down or stale, operators switch presets,
/// an engine leaves.
class fleet_scenario
{
public:
    explicit fleet_scenario(std::uint64_t seed, node_settings const& settings = {})
        : random_{seed}, loop_{node_count, zone_count, seed, settings}, checker_{loop_}
    {
        for (std::uint64_t i = 1; i <= 4; ++i)
        {
            state::upstream engine;
            engine.id = {i};
            engine.incarnation_number = {1};
            engine.zone = {i % zone_count + 1};
            engine.model = {1};
            loop_.platform.list.upstreams.push_back(engine);
        }
        publish_base_configuration(loop_);
    }

    [[nodiscard]] violations run()
    {
        step(8s);
        for (int i = 0; i < 8; ++i)
        {
            apply_random_change();
            inject_random_fault();
            step(std::chrono::milliseconds{500 + random_() % 4'500});
        }
        heal();
        step(40s);
        checker_.check_final_state();
        return checker_.found;
    }

private:
    static constexpr std::size_t node_count = 6;
    static constexpr std::size_t zone_count = 3;

    [[nodiscard]] std::size_t random_below(std::size_t count)
    {
        return random_() % count;
    }

    void apply_random_change()
    {
        static constexpr std::array<char const*, 3> presets{"ordinary", "peak", "maintenance"};
        std::string const preset = presets[random_below(3)];
        switch (random_below(4))
        {
        case 0:
            ++revision_;
            loop_.publish(revision_, switch_published{revision_, preset_named(preset)});
            break;
        case 1:
        case 2:
            request_switch(preset);
            break;
        default:
            if (std::size_t const informed_node = random_below(node_count);
                !checker_.has_mark() && loop_.alive(informed_node))
            {
                checker_.record_leaving_mark();
                loop_.send(informed_node, upstream_leaving{{1}, {1}});
                // Time to reach another node: a mark is lost if the only node that knows it stops.
                step(200ms);
            }
        }
    }

    void request_switch(std::string const& preset)
    {
        std::size_t const node = random_below(node_count);
        std::uint8_t const operator_number = static_cast<std::uint8_t>(1 + random_below(3));
        if (loop_.alive(node))
        {
            checker_.record_switch_request(++exchange_, node);
            loop_.send(node,
                       operator_switch{
                           {exchange_}, operator_key(operator_number), preset_named(preset), 0});
        }
    }

    void inject_random_fault()
    {
        switch (random_below(8))
        {
        case 0:
            loop_.platform.down = !loop_.platform.down;
            break;
        case 1:
            loop_.platform.visible_revision =
                random_below(2) == 0 ? revision_ - random_below(2) : UINT64_MAX;
            break;
        case 2:
            cut_zone_ = random_below(zone_count);
            loop_.connected = [cut = cut_zone_](std::size_t a, std::size_t b)
            {
                return (a == cut) == (b == cut);
            };
            never_partitioned_ = false;
            break;
        case 3:
            loop_.connected = [](std::size_t, std::size_t)
            {
                return true;
            };
            break;
        case 4:
            loop_.platform.disconnected_zones = {random_below(zone_count)};
            break;
        case 5:
            loop_.loss = double(random_below(3)) * 0.05;
            break;
        case 6:
            restart_random_node();
            break;
        default:
            pause_random_node();
        }
    }

    // Restarts one node at a time, and only if the fleet was never partitioned: with these settings
    // the fleet survives the loss of one VM, and one side of a partition may be a single VM.
    void restart_random_node()
    {
        if (!never_partitioned_)
        {
            return;
        }
        wake();
        std::size_t const node = random_below(node_count);
        loop_.stop(node);
        step(std::chrono::milliseconds{random_below(6'000)});
        loop_.start(node);
        step(8s);
    }

    void pause_random_node()
    {
        wake();
        paused_node_ = random_below(node_count);
        loop_.pause(paused_node_);
    }

    void wake()
    {
        if (paused_node_ < node_count)
        {
            loop_.wake(paused_node_, random_below(2) == 0);
            paused_node_ = node_count;
        }
    }

    void heal()
    {
        wake();
        loop_.loss = 0;
        loop_.connected = [](std::size_t, std::size_t)
        {
            return true;
        };
        loop_.platform.down = false;
        loop_.platform.visible_revision = UINT64_MAX;
        loop_.platform.disconnected_zones.clear();
    }

    void step(state::duration time)
    {
        checker_.network_reliable = never_partitioned_ && loop_.loss == 0;
        checker_.step(time);
    }

    std::mt19937_64 random_;
    fleet_loop loop_;
    control_checker checker_;
    std::uint64_t revision_ = 10;
    std::uint64_t exchange_ = 0;
    std::size_t cut_zone_ = zone_count;
    std::size_t paused_node_ = node_count;
    /// \brief Whether no zone has been partitioned off yet.
    bool never_partitioned_ = true;
};

} // namespace plumdale::testing
