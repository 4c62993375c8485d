#pragma once

#include "fleet_run.hpp"

/// \file
/// \brief Faults of a run: engines that die or leave, zones that are cut, presets that alternate.

namespace bench
{

inline void fleet_run::publish_all()
{
    for (decider& each : deciders_)
    {
        publish(each);
    }
}

inline void fleet_run::fail_run(std::uint32_t index)
{
    run_state& run = runs_[index];
    decider& owner = deciders_[run.decider];
    run.active = false;
    owner.policy->ended(st::stream_handle{index + 1ULL}, run.tokens, co::stream_outcome::failed,
                        now_);
    run.failed.push_back(engine_states_[run.engine].id);
    if (run.tokens == 0 && run.request.repeatable)
    {
        return decide(index);
    }
    measures_of(run).interrupted += run.received >= at(scenario_.warm_up) ? 1 : 0;
}

inline void fleet_run::kill(std::uint32_t engine)
{
    engine_states_[engine].alive = false;
    engine_states_[engine].preemptions = 0;
    engine_states_[engine].samples.clear();
    std::vector<std::uint32_t> lost;
    engines_[engine]->clear([&lost](sequence const& each) { lost.push_back(each.run); });
    std::for_each(lost.begin(), lost.end(), [this](std::uint32_t run) { fail_run(run); });
}

inline void fleet_run::begin_fault()
{
    std::uint32_t const third =
        scenario_.fault == fault_kind::third_dies ? scenario_.engines / 3 : 1;
    switch (scenario_.fault)
    {
    case fault_kind::engine_death:
    case fault_kind::third_dies:
        for (std::uint32_t i = 0; i < third; ++i)
        {
            kill(i);
        }
        break;
    case fault_kind::reclaim:
        engine_states_[0].leaving = true;
        break;
    case fault_kind::zone_cut:
        zone_cut_ = true;
        fail_cut_streams();
        break;
    case fault_kind::switching:
        std::swap(scenario_.preset, other_preset_);
        publish_all();
        return push(now_ + std::chrono::seconds{10}, event_kind::fault_begins, 0);
    case fault_kind::burst:
    case fault_kind::none:
        return;
    }
    push(now_ + std::chrono::seconds{1}, event_kind::fault_noticed, 0);
    push(now_ + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>{scenario_.fault_seconds}),
         event_kind::fault_ends, 0);
}

inline void fleet_run::fail_cut_streams()
{
    std::vector<std::uint32_t> lost;
    for (std::uint32_t i = 0; i < runs_.size(); ++i)
    {
        run_state const& run = runs_[i];
        if (run.active && cut_between(deciders_[run.decider].zone, engine_states_[run.engine].zone))
        {
            engines_[run.engine]->cancel(i);
            lost.push_back(i);
        }
    }
    std::for_each(lost.begin(), lost.end(), [this](std::uint32_t run) { fail_run(run); });
}

inline void fleet_run::end_fault()
{
    if (scenario_.fault == fault_kind::reclaim && engine_states_[0].alive)
    {
        kill(0);
        return publish_all();
    }
    zone_cut_ = false;
    fault_noticed_ = false;
    for (std::uint32_t i = 0; i < scenario_.engines; ++i)
    {
        if (!engine_states_[i].alive)
        {
            engine_states_[i].alive = true;
            for (decider& each : deciders_)
            {
                each.gauges[i] = new_gauge(now_);
            }
        }
    }
    publish_all();
}

} // namespace bench
