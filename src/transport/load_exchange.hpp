#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/fleet_update.hpp>
#include <plumdale/coordination/load_update_queue.hpp>
#include <plumdale/state/member_table.hpp>

#include <functional>
#include <span>
#include <vector>

/// \file
/// \brief Sends the load that this VM causes at upstreams to the VMs that select among them.

namespace plumdale::transport
{

/// \brief Functions that the exchange calls to reach peers.
struct load_callbacks
{
    /// \brief Returns an update without rows.
    std::function<coordination::fleet_update()> make_update;
    std::function<void(coordination::fleet_update& update, std::span<state::endpoint const> peers)>
        send;
    /// \brief Returns the addresses of all peers.
    std::function<std::vector<state::endpoint>()> recipients;
};

/// \brief Announces starts, first events and ends of generations within a budget of bytes.
///
/// Rows of services with few upstreams go to all peers together. Rows of divided services go to the
/// VMs whose subsets have the upstream.
class load_exchange
{
public:
    /// \brief `members` are the entry VMs of the fleet.
    load_exchange(forward_core& core, state::member_table const& members, load_callbacks callbacks);

    /// \brief Queues an upstream at which the own load changed, and sends its row at once as far as
    /// the budget allows.
    void announce(state::member_key member);
    /// \brief Counts the live VMs and sends the rows that are due; called several times a second.
    void advance();

private:
    void update_subsets();
    void send_due();
    /// \brief Sends one row to the VMs whose subsets have that upstream.
    void send_divided_row(state::member_key member);

    forward_core& core_;
    state::member_table const& members_;
    load_callbacks callbacks_;
    /// \brief Rows of services that are not divided into subsets.
    coordination::load_update_queue undivided_rows_;
    coordination::load_update_queue divided_rows_;
    bool is_send_posted_ = false;
};

} // namespace plumdale::transport
