#pragma once

#include "generation_owner.hpp"
#include "shard_core.hpp"

#include <plumdale/coordination/progress_timeout.hpp>
#include <plumdale/state/member.hpp>

#include <unordered_map>

/// \file
/// \brief Relays requests of this VM's callers to the entry VM that decides on them.

namespace plumdale::coordination
{

/// \brief Relays requests, checks the owner's messages, and reads from the engine when the owner
/// dies.
class relay_coordinator
{
public:
    relay_coordinator(shard_core& core, generation_owner& owner);

    /// \brief Passes a request to `node`.
    void start(state::caller_handle caller, state::request const& request,
               state::member const& node);

    [[nodiscard]] bool has(state::caller_handle caller) const noexcept;
    void on_caller_disconnected(state::caller_handle caller);
    void on_caller_blocked(state::caller_handle caller);
    void on_caller_ready(state::caller_handle caller);

    void on(relay_head const& event);
    void on(relay_token const& event);
    void on(relay_finished const& event);
    void on(relay_refused const& event);
    void on(relay_failed const& event);

    void on_deadline(state::caller_handle caller);
    void reset_silence_timers();

private:
    struct relay
    {
        state::caller_handle caller;
        state::request request;
        state::node_id node;
        state::endpoint address;
        /// \brief The generation that the owner answers with; none before its head.
        state::generation_id generation;
        state::upstream_id upstream;
        std::uint32_t next_index = 0;
        bool head_sent = false;
        bool owner_retried = false;
        progress_timeout gaps;
        state::time_point silent_since{};
        state::time_point blocked_since = state::never;
        state::time_point timer_at = state::never;
    };

    [[nodiscard]] relay* find(state::caller_handle caller);
    [[nodiscard]] bool expects(relay& pending, state::generation_id const& id);
    void retry_owner(relay& pending);
    void recover(relay& pending, bool sent);
    void refuse(relay& pending, state::error_kind kind);
    void erase(state::caller_handle caller);
    [[nodiscard]] state::time_point due_at(relay const& pending) const;
    void arm_timer(relay& pending);

    shard_core& core_;
    generation_owner& owner_;
    std::unordered_map<state::caller_handle, relay> relays_;
};

} // namespace plumdale::coordination
