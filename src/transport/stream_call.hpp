#pragma once

#include "forward_call.hpp"

#include <plumdale/coordination/copy_admission.hpp>
#include <plumdale/coordination/cut_cause.hpp>
#include <plumdale/coordination/generation_admission.hpp>
#include <plumdale/coordination/generation_backup.hpp>
#include <plumdale/coordination/generation_failover.hpp>
#include <plumdale/coordination/pace_meter.hpp>
#include <plumdale/coordination/stream_end.hpp>
#include <plumdale/protocol/event_progress.hpp>
#include <plumdale/protocol/raw_event_splitter.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief A call that is answered by a stream of events.

namespace plumdale::transport
{

/// \brief What was tried to have a generation go on, since its run ended or was ordered to stop.
struct move_attempts
{
    std::optional<state::time_point> began_at;
    /// \brief Orders to stop the run, whatever became of them.
    std::uint32_t stop_orders = 0;
    std::uint32_t resumptions = 0;
    /// \brief Resumptions that were written to an upstream.
    std::uint32_t resumptions_sent = 0;
    /// \brief An order that may have stopped the run was given while its stream was open.
    bool stopped_running = false;
    /// \brief Where the memory was last known to be held.
    state::member_key held_at;

    void begin(state::time_point now) noexcept
    {
        began_at = began_at.value_or(now);
    }
    /// \brief Returns why the answer is cut: an order of this VM comes before `otherwise`.
    [[nodiscard]] coordination::cut_cause cause(coordination::cut_cause otherwise) const noexcept
    {
        return stopped_running ? coordination::cut_cause::own_stop : otherwise;
    }
};

/// \brief Forwards whole events as they arrive, each once and in order, across the upstreams that
/// run the generation one after another.
class stream_call final : public forward_call, public departure_listener
{
public:
    stream_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                admitted_call admitted);
    ~stream_call() override;

    void on_head(protocol::message_head const& head, protocol::body_framing framing) override;
    void on_body(std::string bytes) override;
    void on_caller_ready() override;
    void on_caller_disconnected() override;
    void on_member_leaving(state::member_key member, coordination::departure const& when) override;
    void on_member_restarted(state::member_key member, coordination::run_ended proof) override;
    void on_zone_evacuated(state::zone_id zone) override;

    /// \brief Events after which the load reported to peers is updated.
    static constexpr std::uint32_t events_per_update = 16;
    /// \brief Time per token until this generation's own is known: a step takes 7 ms and 0.12 ms
    /// for each other generation, and prompts are processed in between.
    static constexpr state::duration default_token_time = coordination::copy_token_time;
    /// \brief Penalty of a destination in another zone: a copy across zones takes twice the link's
    /// time, and some eight leave an upstream one after another within one notice. Another zone is
    /// used if the own one has no capacity.
    static constexpr double other_zone_destination_penalty = 1.0;
    /// \brief Shorter waits for a first event are made of the network's and the step's time.
    static constexpr state::duration min_measured_wait = std::chrono::milliseconds{100};
    /// \brief A caller abandons a stream after a silence of the longest of this time, four
    /// objectives and eight allowed gaps; work beyond that is wasted.
    static constexpr state::duration min_silence_timeout = std::chrono::seconds{2};
    static constexpr int silence_timeout_objectives = 4;
    static constexpr int silence_timeout_gaps = 8;
    /// \brief Why a stream can't go on elsewhere: the next run may or may not bring once more what
    /// came after the last id, and nothing tells which.
    static constexpr std::string_view unnumbered_events =
        "events without a number follow the last id";
    /// \brief Bytes of the largest event.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;
    /// \brief An upstream ends a run at the time that it was told, by its own clock: a stream that
    /// is closed later than this before that time may be part of one.
    static constexpr state::duration run_time_margin = std::chrono::milliseconds{50};

private:
    [[nodiscard]] protocol::system_headers
    make_system_headers(state::time_point now) const override;
    [[nodiscard]] coordination::admission_limit
    limit_for(coordination::selected_upstream const& best) const override;
    [[nodiscard]] state::time_point latest_send() const override;
    [[nodiscard]] bool is_ranked() const override;
    [[nodiscard]] coordination::waiting_call waiting_place() const override;
    [[nodiscard]] coordination::caller_time time_of_caller() const;
    void on_closed() override;
    void exchange_ended(exchange_end end) override;
    [[nodiscard]] std::optional<state::time_point> runs_since() const override;
    void answer_ended(exchange_end end) override;
    void on_timeout() override;
    void on_timer(state::time_point now) override;
    [[nodiscard]] state::time_point next_deadline() const override;

    [[nodiscard]] bool is_resumption() const override
    {
        return resume_from_.has_value();
    }
    [[nodiscard]] std::uint32_t tokens_held() const override;
    [[nodiscard]] std::uint32_t pending_prefill_tokens() const override;
    void clear_pending_prefill();
    std::optional<std::string> request() override;

    /// \brief Records how long the first event of this run took.
    void note_first_event(state::time_point now);
    /// \brief Records the pace of events after the first.
    void note_pace(std::uint32_t events, state::time_point now);
    /// \brief Returns whether this run tells how fast its upstream is.
    [[nodiscard]] bool shows_speed() const noexcept;
    void choose_backup();
    void note_backup();
    void drop_backup();
    /// \brief The run was that of a former start of its upstream, and is over.
    void end_run_of_former_start(coordination::run_ended proof);
    void on_backup_leaving(state::member_key member);
    void on_destination_leaving(state::member_key member);
    [[nodiscard]] bool is_on_time() const;
    void log_timing(coordination::stream_whole proof);
    /// \brief Records how long this call held its capacity.
    void note_held();
    void reserve_for_copy(state::member_key destination);
    [[nodiscard]] coordination::generation_failover& failover();
    [[nodiscard]] coordination::move_rules make_move_rules();
    /// \brief Reserves what a resumption needs here; returns whether the run may be stopped.
    [[nodiscard]] bool reserve_resumption(std::size_t repeats);
    /// \brief Returns where an upstream is, also after its row is gone; none if it was never known.
    [[nodiscard]] std::optional<state::endpoint> address_of(state::member_key member) const;
    void remember_address(state::member_key member);
    /// \brief Tokens that this generation is expected to generate still.
    [[nodiscard]] std::uint32_t expected_remaining_tokens() const;
    [[nodiscard]] state::duration expected_remaining_time(state::time_point now) const;
    [[nodiscard]] bool fits_copies() const noexcept;
    /// \brief Returns the copy that could be ordered now of a generation on a leaving upstream.
    [[nodiscard]] coordination::copy_request make_copy_request(coordination::departure const& when,
                                                               state::time_point now) const;
    /// \brief Returns when the first copy is ordered, if the part that fits copies is on.
    [[nodiscard]] std::optional<coordination::first_copy_times>
    first_copy_turn(coordination::departure const& when, coordination::member_load const& fleet,
                    state::time_point now);
    [[nodiscard]] std::optional<state::member_key>
    choose_fitting_destination(coordination::departure const& when,
                               coordination::selection_options const& options);
    /// \brief Logs and counts, once for a departure, that there is no destination.
    void note_no_destination(std::size_t reachable);
    void forward_events();
    /// \brief Sends what the run has brought, with `events` events.
    void send_events(std::uint32_t events);
    /// \brief Sends what the run has brought.
    void send_pieces();
    void begin_answer();
    void update_loads();
    /// \brief Returns what proves that the stream is whole, if its exchange ended so.
    [[nodiscard]] std::optional<coordination::stream_whole> proof_of(exchange_end end) const;
    void complete_stream(coordination::stream_whole proof);
    /// \brief The stream is complete if its upstream says that it lives.
    void ask_end();
    /// \brief Returns until when its upstream may answer.
    [[nodiscard]] state::time_point end_asked_until(state::time_point now) const;
    /// \brief Its upstream did not answer while its caller waits.
    void end_unanswered();
    /// \brief The stream was closed in order, and nothing shows that it is whole.
    void end_unproved();
    void source_ended(std::string_view why);
    void apply(coordination::failover_actions const& actions);
    void carry_out(coordination::order_copy const& action);
    void carry_out(coordination::resume_generation const& action);
    void carry_out(coordination::release_copy const& action);
    void carry_out(coordination::abandon_generation const& action);
    void note_stop_ordered(state::member_key source);
    /// \brief Nobody waits for the answers to orders to stop any more.
    void cancel_stops();
    /// \brief Records what became of an order; `was_open` is whether the stream was open then.
    void note_stop_answered(state::member_key source, coordination::stop_outcome outcome,
                            bool was_open);
    /// \brief Returns for how long the answer to an order to stop is waited for.
    [[nodiscard]] std::chrono::milliseconds longest_wait_for_stop() const;
    void on_copy_answer(bool last, state::result<fetch_answer> const& answer);
    /// \brief Returns what the answer to an order to stop shows of its effect.
    [[nodiscard]] static coordination::stop_outcome
    outcome_of(state::result<fetch_answer> const& answer);
    void refuse_copy(coordination::copy_refusal reason, std::string handle);
    /// \brief Treats an order that could not be given like one that got no answer.
    void on_copy_unordered(bool last);
    void postpone_resumption();
    void abort_answer(coordination::cut_cause cause, std::string_view why);
    /// \brief Logs what was tried before the answer was broken off.
    void log_cut(coordination::cut_cause cause, std::string_view why);
    void check_departure();
    [[nodiscard]] std::optional<state::member_key>
    choose_destination(state::member_key source, std::span<state::member_key const> excluded);
    /// \brief Returns any other upstream of the service that takes runs.
    [[nodiscard]] std::optional<state::member_key> any_destination(state::member_key source) const;
    [[nodiscard]] state::duration silence_timeout() const;
    /// \brief Returns whether nothing can come but a resumption.
    [[nodiscard]] bool awaits_next_run() const noexcept
    {
        return exchange_ == nullptr && !is_end_asked();
    }

    std::optional<coordination::generation_failover> failover_;
    std::optional<protocol::resume_point> resume_from_;
    protocol::raw_event_splitter events_;
    protocol::event_progress progress_;
    /// \brief Complete pieces of the stream that the caller lacks.
    std::string unsent_;
    std::uint32_t events_forwarded_ = 0;
    state::time_point last_progress_{};
    held_answer failure_body_;
    /// \brief Memory held for the backup, at the upstream that keeps it.
    coordination::member_load backup_load_;
    /// \brief Memory held for an ordered copy, at its destination.
    coordination::member_load copy_load_;
    std::optional<state::endpoint> backup_address_;
    /// \brief Addresses of upstreams that hold memory: their rows may go before it is used.
    std::map<state::member_key, state::endpoint> addresses_;
    state::time_point first_event_at_{};
    /// \brief First event of the run at this upstream.
    state::time_point run_began_at_{};
    state::duration longest_gap_{};
    /// \brief Time to this run's first event at an upstream of nominal speed.
    state::duration nominal_first_event_{};
    coordination::pace_meter pace_;
    bool streaming_ = false;
    bool begun_ = false;
    bool resuming_ = false;
    bool has_noted_no_destination_ = false;
    /// \brief The log has the current wait for a retry.
    bool has_noted_no_retry_ = false;
    /// \brief The log has the current wait for what a stop needs.
    bool has_noted_stop_waits_ = false;
    coordination::stream_end_record ends_;
    /// \brief Why an answer that ended with its connection is whole.
    std::optional<coordination::stream_whole> closed_whole_;
    /// \brief The order to stop found no run, which may have ended before; its upstream is asked.
    bool found_no_run_ = false;
    /// \brief Until when the question is listened to that is under way.
    state::time_point asked_until_{};
    move_attempts attempts_;
    /// \brief Ends orders to stop that have no answer.
    std::vector<fetch_canceller> open_stops_;
    /// \brief Number of the run: counts those that began, or may have.
    std::uint32_t run_ = 0;
};

} // namespace plumdale::transport
