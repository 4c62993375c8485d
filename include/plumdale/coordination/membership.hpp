#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/member_selection.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/update_queue.hpp>
#include <plumdale/state/member_table.hpp>

#include <cstdint>
#include <random>
#include <span>
#include <vector>

/// \file
/// \brief Which entry VMs belong to the fleet, and which of them are alive.

namespace plumdale::coordination
{

/// \brief Failure detection and gossip between entry VMs, based on SWIM.
///
/// Every node keeps the whole table of members, but probes only a bounded number of them each
/// round. Example:
/// \code
/// membership members{settings, seed};
/// control_actions actions;
/// members.advance(now, actions);              // sends probes if a round is due
/// members.receive(from, message, now, actions);
/// \endcode
class membership
{
public:
    /// \brief `settings` outlives this object.
    membership(node_settings const& settings, std::uint64_t seed);

    /// \brief Processes the failure detector's part of a datagram. The answers lack what other
    /// components piggyback.
    void receive(state::endpoint from, peer_message const& message, state::time_point now,
                 control_actions& actions);
    /// \brief Does what is due: sends probes, expires suspicions, gossips updates.
    void advance(state::time_point now, control_actions& actions);
    /// \brief Restarts probes and suspicions after the process was paused, so that no member is
    /// declared dead for answers that this node missed.
    void resume_after_pause(state::time_point now);
    /// \brief Sets endpoints at which entry VMs may run; they become members only once they send a
    /// message.
    void set_candidates(std::span<state::endpoint const> candidates);
    /// \brief Announces that this entry VM drains.
    void leave(state::time_point now);
    /// \brief Requests gossip: the next `advance` that is due sends `update` to a few members.
    void request_gossip() noexcept
    {
        gossip_due_ = true;
    }
    /// \brief Pings a member outside of the rounds, for the state that its answer carries.
    void poll(state::member const& member, control_actions& actions);

    [[nodiscard]] state::time_point next_deadline() const noexcept;
    [[nodiscard]] state::member const& self() const noexcept
    {
        return self_;
    }
    [[nodiscard]] state::member_table const& table() const noexcept
    {
        return table_;
    }
    /// \brief Returns a number that grows with every change of the table.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_;
    }
    /// \brief Returns when this node last learnt that peers had declared it dead; the epoch if
    /// never.
    [[nodiscard]] state::time_point presumed_dead_at() const noexcept
    {
        return presumed_dead_at_;
    }
    /// \brief Returns the greatest incarnation known at this node's address if it is later than its
    /// own; else none.
    [[nodiscard]] state::incarnation replaced_by() const noexcept
    {
        return replaced_by_;
    }

private:
    /// \brief One failed round is common at 10% datagram loss, two in a row are not.
    static constexpr std::uint32_t failed_rounds_to_suspect = 2;

    struct probe
    {
        state::node_id target;
        state::endpoint address;
        std::uint64_t sequence = 0;
        bool answered = false;
    };
    struct relayed_probe
    {
        std::uint64_t sequence = 0;
        state::endpoint requester;
        std::uint64_t requester_sequence = 0;
        state::node_id target;
    };

    void begin_round(state::time_point now, control_actions& actions);
    void end_round(state::time_point now);
    void probe_indirectly(control_actions& actions);
    [[nodiscard]] state::duration with_jitter(state::duration time);
    void choose_targets();
    void ping(state::endpoint to, state::node_id target, std::uint64_t sequence,
              control_actions& actions);
    [[nodiscard]] std::vector<state::endpoint> unknown_endpoints() const;
    void add_target(state::node_id id);
    void ping_candidates(control_actions& actions);
    void gossip_updates(state::time_point now, control_actions& actions);
    void expire_suspicions(state::time_point now);
    void remove_dead(state::time_point now);

    void answer_ping(state::endpoint from, peer_message const& message, control_actions& actions);
    void relay_ping(state::endpoint from, peer_message const& message, control_actions& actions);
    void receive_ack(state::endpoint from, peer_message const& message, state::time_point now,
                     control_actions& actions);
    void relay_ack(peer_message const& message, control_actions& actions);
    void request_next_page(state::endpoint from, peer_message const& message, state::time_point now,
                           control_actions& actions);
    void merge(state::member const& update, state::time_point now);
    void merge_self(state::member const& update, state::time_point now);
    void suspect(state::member_entry& entry, state::time_point now);
    void queue_update(state::node_id subject);
    void piggyback(peer_message& message);
    void add_page(peer_message& message, state::node_id after);
    void send(state::endpoint to, peer_message message, control_actions& actions);
    [[nodiscard]] selection_scope fleet_scope() const noexcept;
    [[nodiscard]] selection_scope zone_scope() const noexcept;
    [[nodiscard]] bool catching_up(state::time_point now) const noexcept;

    node_settings const& settings_;
    std::minstd_rand random_;
    state::member self_;
    state::member_table table_;
    std::vector<state::endpoint> candidates_;
    std::vector<probe> probes_;
    std::vector<relayed_probe> relayed_probes_;
    update_queue<state::node_id> updates_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t round_ = 0;
    std::uint64_t version_ = 1;
    state::node_id page_after_;
    state::incarnation replaced_by_;
    state::time_point presumed_dead_at_{};
    bool started_ = false;
    bool gossip_due_ = false;
    bool is_fast_round_ = false;
    bool digests_match_ = false;
    std::uint32_t digest_mismatches_ = 0;
    std::uint64_t page_sequence_ = 0;
    state::time_point started_at_{};
    state::time_point next_round_at_{};
    state::time_point indirect_probe_at_ = state::never;
    state::time_point next_suspicion_expiry_ = state::never;
    state::time_point last_gossip_{};
};

} // namespace plumdale::coordination
