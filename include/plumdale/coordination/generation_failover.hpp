#pragma once

#include <plumdale/coordination/copy_schedule.hpp>
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

/// \brief The generation cannot continue; the caller's answer is cut off.
struct abandon_generation
{
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

/// \brief Moves a generation across upstreams: copy while it runs, a last copy, resumption.
///
/// At most one upstream runs it at any time: it is resumed only after the source stopped it, or is
/// proved to run it no more. The end of its stream proves nothing. Example:
/// \code
/// generation_failover failover{member, choose_destination};
/// failover.source_leaves({refresh_at, last_at}, now, actions);
/// failover.copied(handle, now, actions);   // then, when due, the refresh or the last copy
/// failover.source_ended(now, actions);     // order it to stop, unless it did
/// failover.copied(handle, now, actions);   // resume at the destination
/// \endcode
class generation_failover
{
public:
    generation_failover(state::member_key source, destination_selector choose);

    /// \brief Sets the upstream that keeps a copy of the memory from the start.
    void set_backup(state::member_key member) noexcept
    {
        backup_ = member;
    }
    /// \brief An upstream leaves or is gone; the backup is dropped if that upstream keeps it.
    void backup_leaves(state::member_key member, state::time_point now, failover_actions& actions);
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
    /// \brief The resumption did not run.
    void resume_refused(state::time_point now, failover_actions& actions);
    /// \brief The generation ended, or its caller no longer needs it.
    void finished(failover_actions& actions);
    /// \brief Takes the next step if its deadline has passed.
    void advance(state::time_point now, failover_actions& actions);

    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return next_deadline_;
    }
    [[nodiscard]] state::member_key source() const noexcept
    {
        return source_;
    }
    [[nodiscard]] state::member_key backup() const noexcept
    {
        return backup_;
    }
    /// \brief Returns whether the generation is stopped between two upstreams.
    [[nodiscard]] bool is_suspended() const noexcept
    {
        return phase_ == phase::stopped || phase_ == phase::resuming;
    }

    /// \brief Delay of a retry when an order arrived before the generation began or during another
    /// order.
    static constexpr state::duration copy_retry_delay = std::chrono::milliseconds{40};
    /// \brief Longest delay between two orders to an unreachable source; each order doubles it.
    static constexpr state::duration max_copy_retry_delay = std::chrono::milliseconds{640};
    /// \brief Destinations that are tried for one departure, unless a first copy may wait for one
    /// where it fits.
    static constexpr std::size_t max_destinations = 4;
    /// \brief Delay between two searches for a destination where a first copy fits.
    static constexpr state::duration destination_retry_delay = std::chrono::milliseconds{40};
    /// \brief Longest wait for the end of the stream after its source stopped the generation: it
    /// still carries what was generated before.
    static constexpr state::duration stopped_stream_timeout = std::chrono::milliseconds{1'200};
    /// \brief Orders to stop a source whose stream ended.
    static constexpr std::uint32_t max_stop_attempts = 4;
    /// \brief Attempts to resume, at the destination or at the upstream that kept the memory.
    static constexpr std::uint32_t max_resume_attempts = 4;
    static constexpr state::duration resume_retry_delay = std::chrono::milliseconds{25};
    static constexpr state::duration postponed_resume_delay = std::chrono::milliseconds{100};

private:
    enum class phase : std::uint8_t
    {
        steady,
        first_copy, ///< Ordered.
        copied,     ///< Waits for the time of the next copy.
        refresh,    ///< Ordered; the previous copy is still valid.
        last_copy,  ///< Ordered.
        stop_due,   ///< The order to stop was refused; waits for the time of the next one.
        stopped,    ///< Last copy complete; waits for the stream's end.
        resuming,
        ended
    };

    void begin_first(state::time_point now, failover_actions& actions);
    void order_first(state::time_point now, failover_actions& actions);
    void wait_for_destination(state::time_point now);
    void exclude_destination(state::time_point now);
    /// \brief Waits for `delay`, at most until the first copy's last chance; gives up after it.
    void wait_until_last_chance(state::time_point now, state::duration delay);
    void order_refresh(failover_actions& actions);
    void order_last(failover_actions& actions);
    /// \brief Orders the source to stop, or gives up where nothing could go on.
    void stop_source(failover_actions& actions);
    /// \brief Returns where the memory goes when the source is stopped, if there is a place.
    [[nodiscard]] std::optional<state::member_key> choose_stop_destination();
    /// \brief The source didn't stop: goes on if it runs nothing, or orders it again.
    void stop_refused(copy_refusal reason, state::time_point now, failover_actions& actions);
    /// \brief Resumes from a copy that survives a source that is gone, or from the backup.
    void resume_without_source(failover_actions& actions);
    [[nodiscard]] bool expects_answer() const noexcept;
    [[nodiscard]] bool is_order_pending() const noexcept;
    void wait_for_next_copy(state::time_point now);
    void resume(failover_actions& actions);
    void resume_from_backup(failover_actions& actions);
    void begin_resumption(state::member_key at, failover_actions& actions);
    void abandon(failover_actions& actions);

    destination_selector select_destination_;
    phase phase_ = phase::steady;
    state::member_key source_;
    state::member_key destination_;
    /// \brief Destination of the order that was given last; `destination_` once it is carried out.
    state::member_key ordered_destination_;
    state::member_key backup_;
    /// \brief Upstream that the next resumption is sent to.
    state::member_key resume_destination_;
    state::member_key holder_;
    std::string handle_;
    std::vector<state::member_key> excluded_;
    copy_schedule times_;
    state::time_point next_deadline_ = state::never;
    state::duration unreachable_retry_delay_ = copy_retry_delay;
    std::uint32_t resume_attempts_ = 0;
    bool source_ended_ = false;
    /// \brief An event of the current run has come.
    bool source_began_ = true;
    /// \brief Why the run at the source is over; none while it may run.
    std::optional<run_ended> source_over_;
    std::uint32_t stop_attempts_ = 0;
    bool source_leaves_ = false;
};

} // namespace plumdale::coordination
