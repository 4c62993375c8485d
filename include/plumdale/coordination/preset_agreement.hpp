#pragma once

#include <plumdale/coordination/configuration_reader.hpp>
#include <plumdale/coordination/content_exchange.hpp>
#include <plumdale/coordination/content_store.hpp>
#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/control_events.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/state/member_table.hpp>

#include <set>
#include <vector>

/// \file
/// \brief Which preset is in force, agreed on without a leader or a store.

namespace plumdale::coordination
{

/// \brief Keeps the newest switch and the configuration values, learnt from the service and from
/// peers, and accepts operators' switches.
///
/// Example: `agreement.handle(switch_published{7, peak}, now);` then `agreement.in_force()`.
class preset_agreement
{
public:
    /// \brief All arguments outlive this object.
    preset_agreement(node_settings const& settings, state::member const& self,
                     state::member_table const& members, std::uint64_t seed);

    // -- from the service or, for values, from a peer --
    void handle(switch_published const& event, state::time_point now);
    void handle(preset_published const& event, state::time_point now);
    void handle(customers_published const& event, state::time_point now);
    void handle(operators_published const& event, state::time_point now);
    void handle(configuration_read const& event, state::time_point now);
    void handle(configuration_read_failed const& event, state::time_point now);

    // -- peers and operators --
    /// \brief `marks_agree` says whether the sender knows the same leaving upstreams.
    void receive(peer_message const& message, bool marks_agree, state::time_point now);
    void handle(operator_switch const& event, state::time_point now, control_actions& actions);
    void handle(content_requested const& event, control_actions& actions) const;
    void handle(content_unavailable const& event, state::time_point now);

    /// \brief Does what is due: reads the service, fetches values, answers operators.
    void advance(state::time_point now, control_actions& actions);
    /// \brief Stops serving until this node has caught up with peers or the service again.
    void resume_after_pause(state::time_point now);
    /// \brief Adds stamp and references to values to a message. `reply_to` is the message that it
    /// answers, or null.
    void piggyback(peer_message& message, peer_message const* reply_to);

    [[nodiscard]] state::time_point next_deadline() const noexcept;
    /// \brief Returns the newest switch known.
    [[nodiscard]] state::preset_stamp stamp() const noexcept
    {
        return stamp_;
    }
    /// \brief Returns the newest switch whose preset is held.
    [[nodiscard]] state::preset_stamp in_force() const noexcept
    {
        return in_force_;
    }
    /// \brief Returns whether this node has caught up and has the configuration it needs to serve.
    [[nodiscard]] bool ready() const noexcept;
    /// \brief Returns whether what is in force would outlive this VM: published, or an operator's
    /// switch that enough other VMs hold.
    [[nodiscard]] bool in_force_is_durable() const noexcept;
    [[nodiscard]] content_store const& content() const noexcept
    {
        return content_;
    }
    [[nodiscard]] bool platform_reachable() const noexcept
    {
        return reader_.reachable();
    }
    /// \brief Returns a number that grows with every change.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }
    /// \brief Returns whether an update is to be gossiped, and clears that flag.
    [[nodiscard]] bool take_update_pending() noexcept;
    /// \brief Returns members to poll for their stamp while an operator waits: a few of each zone
    /// that aren't known to hold the switch.
    [[nodiscard]] std::vector<state::member> members_to_poll(state::time_point now);

private:
    struct pending_switch
    {
        state::exchange_handle exchange;
        state::preset_stamp stamp;
        state::time_point received_at{};
        std::set<state::node_id> holders;
    };

    void merge_stamp(state::preset_stamp stamp);
    void put(content_item item);
    void apply_stamp();
    void check_caught_up(state::time_point now);
    void resolve_switches(state::time_point now, control_actions& actions);
    [[nodiscard]] bool has_enough_holders(pending_switch const& pending) const;
    [[nodiscard]] std::set<state::zone_id> zones_of(std::set<state::node_id> const& ids) const;
    [[nodiscard]] switch_answer make_answer(pending_switch const& pending,
                                            switch_outcome outcome) const;
    [[nodiscard]] bool expects_peers() const noexcept;

    node_settings const& settings_;
    state::member const& self_;
    state::member_table const& members_;
    content_store content_;
    content_exchange exchange_;
    configuration_reader reader_;
    state::preset_stamp stamp_;
    state::preset_stamp in_force_;
    bool switched_in_outage_ = false;
    /// \brief Peers known to hold `stamp_`; at most `switch_holders` of them.
    std::set<state::node_id> stamp_holders_;
    bool update_pending_ = false;
    std::uint64_t version_ = 1;

    bool started_ = false;
    bool caught_up_ = false;
    bool was_caught_up_ = false;
    bool service_read_ = false;
    std::set<state::node_id> caught_up_peers_;
    bool peer_digests_match_ = false;
    state::time_point catch_up_ends_{};
    std::vector<pending_switch> pending_;
    state::time_point next_poll_at_ = state::never;
};

} // namespace plumdale::coordination
