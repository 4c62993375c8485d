#pragma once

#include "generation_record.hpp"
#include "shard_core.hpp"

#include <plumdale/coordination/dispatch_policy.hpp>
#include <plumdale/coordination/fair_queue.hpp>
#include <plumdale/coordination/finished_generations.hpp>

#include <array>
#include <memory>
#include <unordered_map>

/// \file
/// \brief Runs and delivers the generations of one shard.

namespace plumdale::coordination
{

/// \brief A caller of a generation: a connection to this VM, or a peer's relay.
struct attached_caller
{
    state::caller_handle handle;
    bool is_peer = false;
    bool streamed = true;
    /// \brief Index of the first token that the caller has not received.
    std::uint32_t next_index = 0;
    state::time_point deadline = state::never;
};

/// \brief Where to read a generation that another process started.
struct read_hint
{
    state::generation_id generation;
    /// \brief None when upstreams have to be probed for the generation.
    state::upstream_id upstream;
};

/// \brief Owns the generation records of a shard. Requests are in generation_owner.cpp, callers in
/// generation_callers.cpp, starts in generation_dispatch.cpp, exchanges with upstreams in
/// generation_streams.cpp, ends and timers in generation_ends.cpp.
class generation_owner
{
public:
    generation_owner(shard_core& core, dispatch_policy& policy);

    // -- requests ----------------------------------------------------------------------------
    [[nodiscard]] state::generation_id reserve(state::request const& request);
    /// \brief Takes over another owner's identity; only used when `safeguard::single_owner` is off.
    void adopt(state::generation_id const& id, state::request const& request);
    /// \brief Returns the identity that the next `accept` or `reserve` assigns.
    [[nodiscard]] state::generation_id next_identity() const;
    [[nodiscard]] bool is_reserved(state::generation_id const& id) const;
    /// \brief Runs a new request; returns its identity.
    state::generation_id accept(attached_caller const& caller, state::request const& request);
    /// \brief Runs a reserved identity, or attaches to its generation if it has run.
    void run(attached_caller const& caller, state::request const& request);
    void attach(attached_caller const& caller, state::generation_id const& id,
                state::request const& request);
    void cancel(state::caller_handle caller, state::request const& request);
    /// \brief Cancels a generation without a live owner, on the upstream that its caller names.
    void cancel_on_upstream(state::request const& request);
    /// \brief Reads a generation from the upstream that has it; starts no run.
    /// \param head_sent whether the caller has already received the head of this generation
    void read(attached_caller const& caller, read_hint const& hint, state::request const& request,
              bool head_sent = false);

    // -- callers -----------------------------------------------------------------------------
    [[nodiscard]] bool has(state::caller_handle caller) const noexcept;
    void on_caller_disconnected(state::caller_handle caller);
    void on_caller_blocked(state::caller_handle caller);
    void on_caller_ready(state::caller_handle caller);

    // -- upstreams ---------------------------------------------------------------------------
    void on(upstream_started const& event);
    void on(upstream_token const& event);
    void on(upstream_finished const& event);
    void on(upstream_failed const& event);

    // -- time --------------------------------------------------------------------------------
    void on_deadline(state::generation_id const& id);
    /// \brief Restarts every stream's silence timeout, after a pause of this process.
    void reset_silence_timers();

private:
    using record_map = std::unordered_map<state::generation_id, std::unique_ptr<generation_record>>;

    // callers
    [[nodiscard]] state::generation_id mint();
    generation_record& add(state::generation_id const& id, state::request const& request);
    void add_in_flight(generation_record& record);
    void begin(generation_record& record, attached_caller const& caller,
               state::request const& request);
    void bind_caller(generation_record& record, attached_caller const& caller);
    void cancel_unstarted(generation_record& record);
    void release_caller(generation_record& record);
    void detach(generation_record& record);
    void supersede_caller(generation_record& record);
    void attach_live(generation_record& record, attached_caller const& caller);
    void attach_finished(attached_caller const& caller, state::generation_id const& id,
                         finished_generation const& ended, state::request const& request);
    void send_head_if_needed(generation_record& record);
    void on_request_deadline(generation_record& record);
    [[nodiscard]] state::error_kind error_kind_for(generation_record const& record) const noexcept;
    [[nodiscard]] bool authorize_caller(state::customer_id owner, attached_caller const& caller,
                                        state::request const& request);

    // running
    void enqueue(generation_record& record);
    void remove_from_queue(generation_record& record);
    void dispatch_queue_heads();
    void dispatch(generation_record& record);
    void start(generation_record& record, upstream_view const& upstream);
    void take_new_identity(generation_record& record);
    [[nodiscard]] bool may_restart(generation_record const& record) const;
    void restart(generation_record& record);
    void unregister_stream(generation_record& record);
    void abort_stream(generation_record& record);
    void resume(generation_record& record);
    void probe_next_upstream(generation_record& record);
    void retry_not_run(generation_record& record);
    void lost(generation_record& record);
    void restart_or_give_up(generation_record& record, bool unknown_at_upstream);
    void deliver(generation_record& record, upstream_token const& token);
    void finish(generation_record& record, std::uint32_t count);
    void give_up(generation_record& record, state::error_kind kind, state::duration retry_after);
    void stop(generation_record& record);
    void end(generation_record& record, bool whole);

    // time
    [[nodiscard]] static std::size_t kind_index(generation_record const& record) noexcept;
    void on_silence_timeout(generation_record& record);
    [[nodiscard]] state::time_point silence_deadline(generation_record const& record) const;
    [[nodiscard]] state::time_point due_at(generation_record const& record) const;
    void arm_timer(generation_record& record);
    [[nodiscard]] generation_record* find(state::generation_id const& id);
    [[nodiscard]] generation_record* find_by_stream(state::stream_handle stream);

    shard_core& core_;
    dispatch_policy& policy_;
    record_map records_;
    std::unordered_map<state::generation_id, state::generation_id> current_identities_;
    std::unordered_map<state::caller_handle, generation_record*> by_caller_;
    std::unordered_map<state::stream_handle, generation_record*> by_stream_;
    finished_generations finished_;
    fair_queue waiting_;
    /// \brief Times from start to first token, by kind of work.
    std::array<duration_estimator, 3> first_token_times_;
    std::uint64_t minted_count_ = 0;
    std::uint64_t streams_opened_ = 0;
};

} // namespace plumdale::coordination
