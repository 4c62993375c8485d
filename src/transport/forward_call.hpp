#pragma once

#include "caller_channel.hpp"
#include "end_question.hpp"
#include "forward_core.hpp"
#include "upstream_exchange.hpp"

#include <plumdale/coordination/generation_admission.hpp>
#include <plumdale/coordination/routing_table.hpp>
#include <plumdale/coordination/send_record.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief One call on its way through a forwarding entry VM.

namespace plumdale::transport
{

/// \brief Where a call came from, and what was done with it before.
struct call_origin
{
    /// \brief A peer sent it, as it has no path to an upstream; it is sent to no other peer.
    bool is_peer = false;
    /// \brief Sends that may have run.
    std::uint32_t possible_runs = 0;
    /// \brief It counts towards the retry budget already.
    bool is_counted = false;
    /// \brief It tries a refused part of prompts.
    bool is_trial = false;
};

/// \brief A call, with the decisions made before it is sent to an upstream.
struct admitted_call
{
    received_call call;
    protocol::call_headers headers;
    /// \brief The configuration under which it was admitted.
    std::shared_ptr<coordination::routing_table const> table;
    state::route const* route = nullptr;
    state::service const* service = nullptr;
    state::customer_keys const* customer = nullptr;
    /// \brief The same for all attempts of a caller at this request.
    state::request_digest request;
    coordination::call_demand demand;

    /// \brief Returns what may end its upstreams; valid as long as this.
    [[nodiscard]] coordination::call_content content() const noexcept
    {
        return {request, headers.shared_parts};
    }

    /// \brief When the time of its caller or of its route is over, whichever is first.
    state::time_point deadline{};
    call_origin origin;
};

/// \brief Admits a call and starts it, or refuses it through the channel and returns null.
[[nodiscard]] std::shared_ptr<call_handler>
start_call(forward_core& core, std::shared_ptr<caller_channel> const& channel, received_call call,
           call_origin const& origin = {});

/// \brief Returns whether the answer to a call that is sent now can be delivered before the process
/// ends.
[[nodiscard]] bool may_send_before_stop(forward_core const& core, admitted_call const& admitted,
                                        state::time_point now);

/// \brief Why a call is refused while the process is being stopped, for log lines.
inline constexpr std::string_view shutting_down = "this entry VM shuts down";
/// \brief Draws how long a caller that is refused so should wait before it goes to another VM.
[[nodiscard]] state::duration draining_retry_after(forward_core& core,
                                                   admitted_call const& admitted);

/// \brief Sends a call to one upstream after another, as long as it may be retried.
///
/// The record of its sends decides whether it is sent again and what its caller is told: it may
/// have run unless it is proved of each send that it never runs.
class forward_call : public call_handler,
                     public exchange_sink,
                     public std::enable_shared_from_this<forward_call>
{
public:
    forward_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                 admitted_call admitted);
    ~forward_call() override;

    void start();

    void on_caller_disconnected() override;
    void on_caller_ready() override;
    void on_process_ending() final;
    std::optional<std::string> request() override;
    void on_head(protocol::message_head const& head, protocol::body_framing framing) override;
    void on_end(exchange_end end) final;

    /// \brief Upstreams that are unreachable or refuse a call before it is refused to its caller.
    static constexpr std::uint32_t try_limit = 6;
    /// \brief Longest idle time of a kept connection for a call that may not run twice: if the
    /// upstream closes it at that moment, it is unknown whether the call ran.
    static constexpr state::duration non_idempotent_max_idle = std::chrono::milliseconds{400};
    static constexpr state::duration idempotent_max_idle = std::chrono::seconds{10};
    static constexpr state::duration wait_step = std::chrono::milliseconds{25};
    /// \brief A request is suspected only if its upstream ends within this time of starting it: a
    /// request that ends its upstream does so at its start, and the many others that run there are
    /// not the cause.
    static constexpr state::duration suspected_for = std::chrono::seconds{5};
    /// \brief An upstream that goes on for this time after an answer's first event was not ended by
    /// the request, nor is any other.
    static constexpr state::duration proving_time = std::chrono::milliseconds{500};

protected:
    /// \brief Returns the headers to add to the next send.
    [[nodiscard]] virtual protocol::system_headers make_system_headers(state::time_point now) const;
    /// \brief Called when the upstream closed the connection in order after an answer without
    /// length or chunks.
    virtual void on_closed() = 0;
    /// \brief Asks the upstream of an answer that ended with its connection whether its process
    /// lived on, and calls `on_answer` with that, unless the call has ended, the question was
    /// dropped, or nothing answers before `until`.
    void ask_whether_it_lives(state::time_point until, std::function<void(bool)> on_answer);
    void drop_end_question() noexcept
    {
        end_question_.reset();
    }
    [[nodiscard]] bool is_end_asked() const noexcept
    {
        return end_question_ != nullptr;
    }
    /// \brief Records what the end shows of the upstream, and goes on with it; `end` is not
    /// `closed`.
    void conclude(exchange_end end);
    /// \brief Called when the exchange ended; `end` is not `closed`.
    virtual void exchange_ended(exchange_end end);
    /// \brief Returns when the upstream was first seen to run the call; none before.
    [[nodiscard]] virtual std::optional<state::time_point> runs_since() const
    {
        return std::nullopt;
    }
    /// \brief Called when an answer ended, complete or not, that may be forwarded or judged.
    virtual void answer_ended(exchange_end end) = 0;
    /// \brief Called when the call's time is over.
    virtual void on_timeout() = 0;
    virtual void on_timer(state::time_point now);
    /// \brief Returns the limit that keeps the call from the best upstream, if any.
    [[nodiscard]] virtual coordination::admission_limit
    limit_for(coordination::selected_upstream const& best) const;
    /// \brief Returns the last moment at which sending the call still serves its caller.
    [[nodiscard]] virtual state::time_point latest_send() const
    {
        return admitted_.deadline;
    }
    /// \brief Returns when `on_timer` is due besides the deadline.
    [[nodiscard]] virtual state::time_point next_deadline() const;

    /// \brief Returns whether the next send resumes a generation that ran elsewhere.
    [[nodiscard]] virtual bool is_resumption() const
    {
        return false;
    }

    /// \brief Returns the tokens that the call has in memory at its upstream by now.
    [[nodiscard]] virtual std::uint32_t tokens_held() const
    {
        return admitted_.demand.prompt_tokens;
    }

    /// \brief Returns the prompt tokens that its upstream has to read before the first event.
    [[nodiscard]] virtual std::uint32_t pending_prefill_tokens() const
    {
        return admitted_.demand.prompt_tokens;
    }

    [[nodiscard]] bool is_idempotent() const noexcept
    {
        return admitted_.route->kind == state::call_kind::idempotent;
    }

    void dispatch();
    /// \brief Returns whether the call waits in the order of `forward_core::waiting`.
    [[nodiscard]] virtual bool is_ranked() const
    {
        return false;
    }
    /// \brief Returns the call's place in that order.
    [[nodiscard]] virtual coordination::waiting_call waiting_place() const
    {
        return {};
    }
    /// \brief Returns the rank of the customer, or of the route where the customer has none.
    [[nodiscard]] std::uint32_t rank() const;
    /// \brief Records the best of about `candidates` upstreams; returns it if the call may be sent
    /// there.
    [[nodiscard]] std::optional<state::member_key> select_upstream(std::size_t candidates,
                                                                   state::time_point now);
    [[nodiscard]] std::optional<state::member_key>
    select_upstream(coordination::selection_options options, state::time_point now);
    /// \brief Does so among all upstreams, also those at which a gap between events may be too
    /// long.
    [[nodiscard]] std::optional<state::member_key> select_slow_upstream(state::time_point now);
    [[nodiscard]] bool may_send(coordination::directory_entry const& entry,
                                state::time_point now) const;
    void wait_or_refuse(bool at_capacity, state::time_point now);
    /// \brief Returns whether no other waiting call is to be tried before this one.
    [[nodiscard]] bool has_turn(state::time_point now);
    /// \brief Returns how long the call is expected to wait from now on.
    [[nodiscard]] state::duration expected_wait(state::time_point now) const;
    /// \brief Returns whether it is expected to find capacity while that still serves its caller.
    [[nodiscard]] bool is_worth_waiting(state::time_point now) const;
    /// \brief Returns whether other calls of its route wait in line.
    [[nodiscard]] bool has_others_waiting() const;
    [[nodiscard]] coordination::wait_forecast& forecast() const;
    /// \brief Takes a place among the waiting calls; returns false, and refuses the call, if there
    /// is none left.
    [[nodiscard]] bool join_waiting(state::time_point now);
    /// \brief Gives up that place, to be sent or to end.
    void leave_waiting(bool is_served);
    void open_exchange(state::member_key member);
    void redispatch(std::string_view why);
    /// \brief Returns whether a peer may take the call: it is a caller's own, and begins anew.
    [[nodiscard]] bool may_use_peer() const;
    /// \brief Returns whether each try of the call ended without a connection.
    [[nodiscard]] bool has_connected_to_none() const noexcept;
    /// \brief Reserves a retry for the next send, unless one is; returns false when there is none.
    [[nodiscard]] bool reserve_repeat(coordination::retry_priority priority);
    /// \brief Reserves as many for the sends to come, or none; returns whether that many are.
    [[nodiscard]] bool reserve_repeats(std::size_t count, coordination::retry_priority priority);
    /// \brief One of those that are reserved, if any, is sent here or at a peer.
    void spend_repeat();
    /// \brief Those that are reserved are not needed.
    void release_repeats();
    /// \brief Has a peer take the call, one of `peers` unless that is empty, or refuses it with
    /// `decline` if it is a peer's.
    void hand_over_or_refuse(std::string_view why, state::error_kind decline,
                             std::vector<state::node_id> peers = {});
    /// \brief Hands the call over if this VM's shares of what brittle upstreams bear keep it from
    /// all upstreams; returns whether it did.
    [[nodiscard]] bool hand_over_without_share(state::time_point now);
    /// \brief Ends this call and has a peer take it; the last action on it.
    void hand_to_peer(std::string_view why, std::vector<state::node_id> peers = {});
    /// \brief Records what the end of the exchange proves of its send, and returns it.
    coordination::send_proof record_end(exchange_end end);
    /// \brief Returns whether the answer's status promises that a call, which may run only once,
    /// never runs, though its upstream does not state so.
    [[nodiscard]] bool has_unfounded_promise() const noexcept;
    /// \brief Retries or refuses the call after its upstream failed and may have run it.
    void retry_or_refuse(std::string_view why);
    void refuse(state::error_kind kind, std::string_view why);
    /// \brief Returns whether the request is quarantined, so that it is sent to no upstream.
    [[nodiscard]] bool is_quarantined() const;
    /// \brief No quarantine ends the call any more: an upstream that ran it lives.
    void trust_request() noexcept
    {
        is_proven_ = true;
    }
    /// \brief Records that the upstream goes on with the answer, once that shows that it wasn't
    /// ended by it.
    void prove_sound(state::time_point now);
    /// \brief Ends the call; the channel has been answered or is gone.
    void finish();
    void close_exchange();
    /// \brief Ends the exchange as one whose upstream sends no valid answer.
    void end_invalid_answer(std::string_view why);
    void end_connecting();
    /// \brief Removes a load of this call from the ledger, if it was added.
    void drop_load(coordination::member_load& load);
    void announce_load(state::member_key member);
    void arm_timer();
    void note_outcome(coordination::call_outcome outcome);
    /// \brief Logs a decision; `error` is what its caller is told, if it ends the call.
    void log(std::string_view decision, std::string_view why, std::string_view error = {});
    [[nodiscard]] bool may_have_run() const noexcept
    {
        return sends_.possible_runs() > 0;
    }
    /// \brief Returns how long a caller that is refused now should wait before it retries.
    [[nodiscard]] state::duration retry_after();
    [[nodiscard]] std::vector<protocol::header_field> answer_fields() const;
    /// \brief Returns the prompt's shared parts for log lines.
    [[nodiscard]] std::string shared_parts_text() const;
    [[nodiscard]] std::string_view member_name() const;
    [[nodiscard]] std::string_view name_of(state::member_key member) const;

    forward_core& core_;
    std::shared_ptr<caller_channel> channel_;
    admitted_call admitted_;
    net::steady_timer timer_;
    std::shared_ptr<upstream_exchange> exchange_;
    /// \brief The question that is under way.
    std::shared_ptr<end_question> end_question_;
    std::uint32_t end_questions_ = 0;
    state::member_key member_;
    /// \brief Where it is sent; the directory may list another place meanwhile.
    state::endpoint address_{};
    /// \brief Its start as listed when the call was sent; zero if that isn't known.
    state::incarnation started_{};
    coordination::member_load load_;
    std::vector<state::member_key> excluded_;
    protocol::message_head head_;
    protocol::answer_headers answer_;
    protocol::body_framing framing_ = protocol::body_framing::none;
    state::time_point sent_at_{};
    state::time_point first_sent_at_{};
    /// \brief The best upstream of the last selection that found any, whether the call was sent
    /// there or not.
    coordination::selected_upstream best_;
    /// \brief The limit that kept the call from it.
    coordination::admission_limit blocking_limit_ = coordination::admission_limit::none;
    /// \brief Later, sending it doesn't serve its caller any more.
    state::time_point latest_send_{};
    state::time_point retry_at_ = state::never;
    /// \brief Why the last connection could not be opened.
    connection_failure connection_failure_ = connection_failure::none;
    std::uint32_t tries_ = 0;
    /// \brief Tries that ended without a connection.
    std::uint32_t failed_connections_ = 0;
    coordination::send_record sends_;
    /// \brief How the last exchange ended.
    std::optional<exchange_end> last_end_;
    /// \brief Repeats that are reserved and not sent yet.
    std::size_t reserved_repeats_ = 0;
    bool is_waiting_ = false;
    /// \brief The best upstream of the last selection, and so each, is in a zone that is cut off.
    bool is_cut_off_ = false;
    bool is_connecting_ = false;
    /// \brief Its number among the waiting calls, while it waits there.
    std::optional<std::uint64_t> waiting_id_;
    /// \brief Calls before it when it began to wait.
    std::size_t calls_before_ = 0;
    /// \brief How long it was expected to wait when it found no capacity last.
    state::duration expected_wait_{};
    /// \brief The part of the prompt that this call tries.
    std::optional<state::prompt_part> tried_part_;
    /// \brief An upstream went on with the answer for `proving_time`.
    bool is_proven_ = false;
    /// \brief The upstream counted as cold when the call was sent.
    bool is_cold_ = false;
    /// \brief The request that was sent last is neither accepted nor refused yet.
    bool is_open_ = false;
    bool has_head_ = false;
    bool finished_ = false;

private:
    [[nodiscard]] std::size_t recheck_candidates(state::time_point now) const;
    void on_deadline_timer();
    void refuse(state::error_kind kind, std::string_view why, state::duration retry_after);
    /// \brief Returns how long a kept connection to an upstream may have been idle; zero to open a
    /// new one.
    [[nodiscard]] state::duration longest_idle(state::member_key member) const;
    void refuse_quarantined();
    /// \brief Refuses the call as its answer couldn't be delivered before the process ends.
    void refuse_draining();
    /// \brief Sends a quarantined call if a part of its prompt is to be tried again, here or at the
    /// VM that does so.
    void try_part_or_refuse();
    [[nodiscard]] request_attempt attempt() const noexcept;
    /// \brief Refuses the call as all upstreams back off, the first of them until `end`.
    void refuse_backed_off(state::time_point end, state::time_point now);
    /// \brief Records the evidence on the request that the end of its exchange gives.
    void note_evidence(exchange_end end);
    /// \brief Records how the upstream took the request that was sent last, once.
    void settle(coordination::send_outcome outcome);
    void note_unreachable();
    [[nodiscard]] bool has_mismatched_id() const;
    /// \brief Returns whether the answer states, under the call's id, that it did not run.
    [[nodiscard]] bool states_not_run() const;
};

} // namespace plumdale::transport
