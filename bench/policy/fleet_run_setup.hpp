#pragma once

#include "fleet_run.hpp"

/// \file
/// \brief Setup of a run: engines, deciders and each decider's view of the fleet.

namespace bench
{

inline void fleet_run::make_engines()
{
    for (std::uint32_t i = 0; i < scenario_.engines; ++i)
    {
        engine_state engine;
        engine.zone = i % scenario_.zones;
        engine.id = st::upstream_id{st::mix(i, 77) | 1U};
        engine_states_.push_back(std::move(engine));
        engines_.push_back(std::make_unique<engine_model>(engine_parameters{}));
        engine_of_[engine_states_.back().id.value] = i;
    }
}

inline void fleet_run::make_decider(std::uint32_t index, policy_factory const& factory)
{
    decider each;
    each.zone = index % scenario_.zones;
    each.node = st::node_id{index + 1};
    for (std::uint32_t i = 0; i < scenario_.engines; ++i)
    {
        each.gauges.push_back(new_gauge(at(-100.0)));
    }
    each.policy = factory({each.node,
                           zone_id_of(each.zone),
                           scenario_.seed * 1000 + index,
                           {engines_, engine_of_, length_of_}});
    deciders_.push_back(std::move(each));
    publish(deciders_.back());
    duration const offset = report_interval * index / scenario_.entry_vms;
    push(at(0.3) + offset, event_kind::reports, index);
}

inline void fleet_run::publish(decider& each)
{
    auto next = std::make_shared<co::fleet_snapshot>();
    next->version = ++version_;
    next->ready = true;
    next->preset = scenario_.preset;
    for (std::uint32_t i = 0; i < scenario_.engines; ++i)
    {
        engine_state const& engine = engine_states_[i];
        co::upstream_view view;
        view.info.id = engine.id;
        view.info.zone = zone_id_of(engine.zone);
        view.info.model = model_;
        view.gauge = each.gauges[i];
        bool const seen = !fault_noticed_ || !cut_between(each.zone, engine.zone);
        view.accepting = seen && (!fault_noticed_ || (engine.alive && !engine.leaving));
        next->upstreams.push_back(view);
    }
    std::sort(next->upstreams.begin(), next->upstreams.end(),
              [](auto const& a, auto const& b) { return a.info.id < b.info.id; });
    for (std::uint32_t i = 0; i < demand_source::customers; ++i)
    {
        st::customer one;
        one.id = st::customer_id{i + 1};
        next->customers.push_back(one);
    }
    for (std::uint32_t i = 0; i < scenario_.entry_vms; ++i)
    {
        st::member one;
        one.id = st::node_id{i + 1};
        one.zone = zone_id_of(i % scenario_.zones);
        bool const gone = fault_noticed_ && cut_between(each.zone, i % scenario_.zones);
        one.health = gone ? st::member_health::dead : st::member_health::alive;
        if (one.id != each.node)
        {
            next->members.push_back(one);
        }
    }
    each.fleet = std::move(next);
}

} // namespace bench
