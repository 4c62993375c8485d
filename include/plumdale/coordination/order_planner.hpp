#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/control_events.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/state/engine_order.hpp>
#include <plumdale/state/member_table.hpp>

#include <map>
#include <span>
#include <vector>

/// \file
/// \brief Which orders engines get, from which node and when.

namespace plumdale::coordination
{

/// \brief One engine's place in the plan.
struct planned_order
{
    state::upstream_id upstream;
    state::engine_order order;
    /// \brief Place among the engines that load weights, from zero.
    std::uint32_t load_rank = 0;
};

/// \brief Returns the fencing number of a stamp: greater for a later stamp.
[[nodiscard]] std::uint64_t fence_of(state::preset_stamp const& stamp) noexcept;

/// \brief Derives each engine's order from the preset in force and the set of engines; nodes with
/// the same inputs derive the same plan. Engines of models without assignment get none.
[[nodiscard]] std::vector<planned_order> plan_orders(state::preset_stamp const& stamp,
                                                     state::preset const& preset,
                                                     std::span<upstream_view const> upstreams);

/// \brief Sends orders to the engines that this node is responsible for.
///
/// Each engine's order is read, sent only where it differs, and read back.
class order_planner
{
public:
    order_planner(node_settings const& settings, state::member const& self,
                  state::member_table const& members)
        : settings_{settings}, self_{self}, members_{members}
    {
    }

    /// \brief Plans the orders for the preset in force in `fleet`.
    void plan(fleet_snapshot const& fleet, state::time_point now);
    void handle(order_read const& event, state::time_point now, control_actions& actions);
    void handle(order_failed const& event);
    /// \brief Discards reads sent before the pause, and reads every engine again.
    void resume_after_pause();
    void advance(state::time_point now, control_actions& actions);
    [[nodiscard]] state::time_point next_deadline() const noexcept;

private:
    struct row
    {
        planned_order planned;
        state::endpoint address;
        bool checks_fence = true;
        /// \brief Earliest time for the order, which limits concurrent loads from the weight store.
        state::time_point not_before{};
        state::time_point next_read{};
        /// \brief Whether a read was sent since the last pause and awaits its answer.
        bool read_pending = false;
        /// \brief Used only with the safeguard `order_readback` off.
        bool order_sent = false;
    };

    void read_or_order(row& each, control_actions& actions) const;
    [[nodiscard]] bool is_responsible_for(state::upstream_id upstream) const;

    node_settings const& settings_;
    state::member const& self_;
    state::member_table const& members_;
    state::preset_stamp stamp_;
    state::time_point in_force_since_{};
    std::map<state::upstream_id, row> rows_;
};

} // namespace plumdale::coordination
