#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/state/load_report.hpp>
#include <plumdale/state/member_table.hpp>

#include <cstddef>
#include <vector>

/// \file
/// \brief Which node reads which engine's load, and which reports it shares with its zone.

namespace plumdale::coordination
{

/// \brief Rounds a report for a datagram. The occupied share is rounded up, never down.
[[nodiscard]] load_summary summarize(state::load_report const& report) noexcept;

/// \brief Converts a summary back to a report, within the precision of the summary.
[[nodiscard]] state::load_report expand(load_summary const& summary) noexcept;

/// \brief Writes a report into the gauge of its upstream, unless the gauge has a newer one.
void store_report(upstream_gauge& gauge, state::load_report const& report, state::time_point now);

/// \brief In small fleets every node reads every engine. In larger ones each engine of the own zone
/// is read by the nodes responsible for it by rendezvous hashing, which share summaries.
class load_collector
{
public:
    load_collector(node_settings const& settings, state::member const& self,
                   state::member_table const& members)
        : settings_{settings}, self_{self}, members_{members}
    {
    }

    void advance(fleet_snapshot const& fleet, state::time_point now, control_actions& actions);
    /// \brief Adds a report that this node read, to be shared.
    void add_report(state::load_report const& report, state::time_point now);
    /// \brief Adds summaries to a message for a member of the own zone.
    void piggyback(peer_message& message, state::time_point now);

    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return next_;
    }

private:
    struct shared_report
    {
        state::load_report report;
        state::time_point received_at{};
    };

    node_settings const& settings_;
    state::member const& self_;
    state::member_table const& members_;
    bool is_sharing_ = false;
    std::vector<shared_report> reports_;
    std::size_t next_index_ = 0;
    state::time_point next_{};
};

} // namespace plumdale::coordination
