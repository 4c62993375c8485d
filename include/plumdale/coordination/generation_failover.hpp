#pragma once

#include <plumdale/coordination/copy_schedule.hpp>
#include <plumdale/coordination/held_memory.hpp>
#include <plumdale/coordination/send_proof.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Continues one generation when its upstream leaves or its stream breaks off.

namespace plumdale::coordination
{

/// \brief Order the source to copy the generation's memory; `last` also stops it there.
struct order_copy
{
    state::member_key source;
    state::member_key destination;
    bool last = false;
};

/// \brief Send the call again, to continue from the memory that `holder` offers under `handle`.
struct resume_generation
{
    state::member_key at;
    state::member_key holder;
    /// \brief Empty for a backup, which is identified by the call's own id.
    std::string handle;
    /// \brief Why the run before is over.
    run_ended former;
};

/// \brief Free a copy that will not be used.
struct release_copy
{
    state::member_key source;
    std::string handle;
};

/// \brief Why a generation can't go on though its caller waits.
enum class abandon_reason : std::uint8_t
{
    nothing_held,    ///< Its run is over, and no upstream holds its memory.
    held_by_leaving, ///< It is held only by upstreams that take no runs any more.
    expired          ///< Where its memory was held, its lifetime is over.
};

/// \brief The generation cannot continue; the caller's answer is cut off.
struct abandon_generation
{
    abandon_reason reason = abandon_reason::nothing_held;
};

using failover_action =
    std::variant<order_copy, resume_generation, release_copy, abandon_generation>;
using failover_actions = std::vector<failover_action>;

/// \brief Why an order to copy failed.
enum class copy_refusal : std::uint8_t
{
    unknown_generation, ///< Not begun yet, or ended.
    in_progress,
    no_capacity, ///< At the destination, or it can't be reached.
    rejected,    ///< For another reason.
    unreachable, ///< No answer; it may have been carried out.
    process_gone ///< The source refuses connections.
};

/// \brief Returns a destination for the memory of a generation at `source`, if there is one.
using destination_selector = std::function<std::optional<state::member_key>(
    state::member_key source, std::span<state::member_key const> excluded)>;

/// \brief What a move needs from outside; each may be asked at any time.
struct move_rules
{
    destination_selector select_destination;
    /// \brief Returns any other upstream that takes runs, whether the memory fits there or not.
    std::function<std::optional<state::member_key>(state::member_key)> any_destination =
        [](state::member_key)
    {
        return std::optional<state::member_key>{};
    };
    /// \brief Returns whether a resumption may be sent to an upstream now.
    held_memory::upstream_check may_resume_at = [](state::member_key)
    {
        return true;
    };
    /// \brief Returns whether an upstream takes new runs, and stays as far as is known.
    held_memory::upstream_check takes_runs = may_resume_at;
    /// \brief Returns whether an upstream will never take a run again.
    held_memory::upstream_check has_left = [](state::member_key)
    {
        return false;
    };
    /// \brief Reserves what a resumption needs here, as its repeats, unless that is done; returns
    /// whether it is. If it is urgent, what a first try needs will do.
    std::function<bool(bool is_urgent)> reserve_resumption = [](bool)
    {
        return true;
    };
    /// \brief For how long upstreams keep memory at least.
    state::duration memory_lifetime = std::chrono::seconds{5};
};

/// \brief Moves a generation across upstreams: copy while it runs, a last copy, resumption.
///
/// At most one upstream runs it at any time: it is resumed only after the source stopped it, or is
/// proved to run it no more. The end of its stream proves nothing.
///
/// A running source is ordered to stop only when the next step is secured: a copy at an upstream
/// that takes the resumption, and a repeat for it. From that order on nothing here counts tries:
/// orders and resumptions are repeated with growing delays while memory is held anywhere. Their
/// owner ends them when the caller's time is over. Example:
/// \code
/// generation_failover failover{member, {choose_destination}};
/// failover.source_leaves({refresh_at, last_at}, now, actions);
/// failover.copied(handle, now, actions);   // then, when due, the refresh or the last copy
/// failover.source_ended(now, actions);     // order it to stop, unless it did
/// failover.copied(handle, now, actions);   // resume at the destination
/// \endcode
class generation_failover
{
public:
    generation_failover(state::member_key source, move_rules rules);

    /// \brief Sets the upstream that keeps a copy of the memory from the start.
    void set_backup(state::member_key member);
    /// \brief An upstream leaves or is gone; the backup is dropped if that upstream keeps it.
    void backup_leaves(state::member_key member, state::time_point now, failover_actions& actions);
    /// \brief An upstream leaves or is gone; if the copy is there, another place is looked for
    /// while the source runs.
    void destination_leaves(state::member_key member, state::time_point now,
                            failover_actions& actions);
    /// \brief The source leaves; `times` are those of the copies after the first. Called again when
    /// the times change.
    void source_leaves(copy_schedule const& times, state::time_point now,
                       failover_actions& actions);
    /// \brief The source carried out an order to copy.
    void copied(std::string handle, state::time_point now, failover_actions& actions);
    /// \brief The source refused an order to copy; `handle` is not empty if it stopped the
    /// generation nonetheless.
    void copy_refused(copy_refusal reason, std::string handle, state::time_point now,
                      failover_actions& actions);
    /// \brief The stream from the source ended before the generation did, or was given up. The
    /// source may work on, and is stopped before the generation goes on elsewhere.
    void source_ended(state::time_point now, failover_actions& actions);
    /// \brief The source is proved to run nothing any more.
    void source_gone(run_ended proof, state::time_point now, failover_actions& actions);
    /// \brief The first event after a resumption arrived.
    void resumed(state::time_point now) noexcept;
    /// \brief The resumption can't be sent yet.
    void resume_postponed(state::time_point now) noexcept;
    /// \brief The upstream refused the resumption, and did not run it.
    void resume_refused(state::time_point now, failover_actions& actions);
    /// \brief Nothing of the resumption was written.
    void resume_unsent(state::time_point now, failover_actions& actions);
    /// \brief The generation ended, or its caller no longer needs it.
    void finished(failover_actions& actions);
    /// \brief Takes the next step if its deadline has passed.
    void advance(state::time_point now, failover_actions& actions);

    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return next_deadline_;
    }
    /// \brief Returns where the generation runs, or is being resumed.
    [[nodiscard]] state::member_key source() const noexcept
    {
        return phase_ == phase::resuming ? asked_ : source_;
    }
    [[nodiscard]] state::member_key backup() const noexcept
    {
        return backup_;
    }
    /// \brief Returns whether the generation is stopped between two upstreams.
    [[nodiscard]] bool is_suspended() const noexcept
    {
        return phase_ == phase::stopped || phase_ == phase::waiting || phase_ == phase::resuming;
    }

    /// \brief Returns whether any upstream is known to hold the generation's memory.
    [[nodiscard]] bool has_memory() const noexcept
    {
        return !memory_.is_empty();
    }

    /// \brief Delay of a retry when an order arrived before the generation began or during another
    /// order.
    static constexpr state::duration copy_retry_delay = std::chrono::milliseconds{40};
    /// \brief Longest delay between two orders; each order doubles it.
    static constexpr state::duration max_copy_retry_delay = std::chrono::milliseconds{640};
    /// \brief Destinations that are tried for one departure, unless a first copy may wait for one
    /// where it fits.
    static constexpr std::size_t max_destinations = 4;
    /// \brief Delay between two searches for a destination where a first copy fits.
    static constexpr state::duration destination_retry_delay = std::chrono::milliseconds{40};
    /// \brief Longest wait for the end of the stream after its source stopped the generation: it
    /// still carries what was generated before.
    static constexpr state::duration stopped_stream_timeout = std::chrono::milliseconds{1'200};
    /// \brief Wait for the answer to an order to stop before another one is given: it comes once
    /// the copy is complete, behind others on the link.
    static constexpr state::duration stop_answer_delay = std::chrono::milliseconds{2'500};
    /// \brief How long a stop is put off for repeats beyond the first.
    static constexpr state::duration urgent_after = std::chrono::milliseconds{500};
    /// \brief Delay between two looks at whether the step after an order to stop is secured.
    static constexpr state::duration secure_retry_delay = std::chrono::milliseconds{100};
    /// \brief Delay between resumptions at different places.
    static constexpr state::duration resume_retry_delay = std::chrono::milliseconds{25};
    /// \brief Longest delay before a place that refused is asked again. Each round makes the delay
    /// three times as long, as a VM has few repeats for the time that memory is kept.
    static constexpr state::duration max_resume_delay = std::chrono::seconds{2};
    static constexpr int resume_delay_growth = 3;
    static constexpr state::duration min_resume_delay = resume_delay_growth * resume_retry_delay;
    static constexpr state::duration postponed_resume_delay = std::chrono::milliseconds{100};

private:
    enum class phase : std::uint8_t
    {
        steady,
        first_copy, ///< Ordered.
        copied,     ///< Waits for the time of the next copy.
        refresh,    ///< Ordered; the previous copy is still valid.
        stopping,   ///< Ordered to stop; waits for an answer, or for the time of the next order.
        stopped,    ///< Last copy complete; waits for the stream's end.
        waiting,    ///< The run is over; waits for the time of the next resumption.
        resuming,
        ended
    };

    // -- copies
    void begin_first(state::time_point now, failover_actions& actions);
    void order_first(state::time_point now, failover_actions& actions);
    void wait_for_destination(state::time_point now);
    void exclude_destination(state::time_point now);
    /// \brief Waits for `delay`, at most until the first copy's last chance; gives up after it.
    void wait_until_last_chance(state::time_point now, state::duration delay);
    void order_refresh(failover_actions& actions);
    void order_next_copy(state::time_point now, failover_actions& actions);
    /// \brief Orders the last copy if the step after it is secured.
    void order_last(state::time_point now, failover_actions& actions);
    /// \brief The copy's place takes no resumption: the copy goes elsewhere.
    void replace_destination(state::time_point now, failover_actions& actions);
    void wait_for_next_copy(state::time_point now);
    void first_copy_refused(copy_refusal reason, state::time_point now);
    [[nodiscard]] bool is_order_pending() const noexcept;
    /// \brief The next search for a destination passes an upstream over.
    void exclude(state::member_key member);
    /// \brief Returns whether a resumption would be taken by an upstream now, and later.
    [[nodiscard]] bool may_go_on_at(state::member_key member) const;
    [[nodiscard]] bool has_copy() const noexcept;
    /// \brief Returns the delay before the next order, which doubles.
    [[nodiscard]] state::duration take_order_delay() noexcept;

    // -- stops
    void order_stop(state::member_key destination, state::time_point now,
                    failover_actions& actions);
    /// \brief Orders the source to stop; waits where there is no destination.
    void stop_source(state::time_point now, failover_actions& actions);
    /// \brief Returns where the memory goes when the source is stopped, if there is a place.
    [[nodiscard]] std::optional<state::member_key> choose_stop_destination();
    void stop_answered(std::string handle, state::time_point now, failover_actions& actions);
    /// \brief The source didn't say that it stopped: goes on if it runs nothing, or orders it
    /// again.
    void stop_refused(copy_refusal reason, std::string handle, state::time_point now,
                      failover_actions& actions);
    /// \brief A source whose stream ended refused an order: goes on if it runs nothing, or orders
    /// it to stop later.
    void source_refuses_after_its_end(copy_refusal reason, state::time_point now,
                                      failover_actions& actions);
    /// \brief The run was stopped; the stream still carries what was generated before.
    void run_stopped(state::time_point now, failover_actions& actions);
    void run_is_over(run_ended proof, state::time_point now);

    // -- resumption
    /// \brief Resumes at the place whose turn it is, or waits for one.
    void resume(state::time_point now, failover_actions& actions);
    void begin_resumption(memory_place const& place, failover_actions& actions);
    /// \brief The resumption runs, or may run, where it was asked for.
    void begin_run() noexcept;
    void wait_for_resumption(state::time_point now, state::duration delay) noexcept;
    void abandon(abandon_reason reason, failover_actions& actions);

    move_rules rules_;
    held_memory memory_;
    phase phase_ = phase::steady;
    /// \brief Upstream of the newest run that has begun, or may have.
    state::member_key source_;
    /// \brief Upstream that was asked last to go on with it.
    state::member_key asked_;
    state::member_key destination_;
    /// \brief Destination of the order that was given last; `destination_` once it is carried out.
    state::member_key ordered_destination_;
    state::member_key backup_;
    std::string handle_;
    std::vector<state::member_key> excluded_;
    copy_schedule times_;
    state::time_point copied_at_{};
    state::time_point next_deadline_ = state::never;
    state::duration order_delay_ = copy_retry_delay;
    state::duration resume_delay_ = min_resume_delay;
    /// \brief Orders to stop the current run that have no answer yet.
    std::uint32_t stops_unanswered_ = 0;
    bool source_ended_ = false;
    /// \brief An event of the current run has come.
    bool source_began_ = true;
    /// \brief Why the run at the source is over; none while it may run.
    std::optional<run_ended> source_over_;
    bool source_leaves_ = false;
};

} // namespace plumdale::coordination
