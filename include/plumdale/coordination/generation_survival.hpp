#pragma once

#include <plumdale/coordination/copy_schedule.hpp>
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
/// \brief Carries one generation on when its upstream leaves or breaks off.

namespace plumdale::coordination
{

/// \brief Order the source to copy the generation's memory; `last` stops it there.
struct order_copy
{
    state::member_key source;
    state::member_key destination;
    bool last = false;
};

/// \brief Send the call again, to go on from the memory that `holder` gave out under `handle`.
struct resume_generation
{
    state::member_key at;
    state::member_key holder;
    /// \brief Empty for a backup, which goes by the call's own id.
    std::string handle;
};

/// \brief Free a copy that will not be used.
struct release_copy
{
    state::member_key source;
    std::string handle;
};

/// \brief The generation can't go on: the caller's answer breaks off.
struct abandon_generation
{
};

using survival_action =
    std::variant<order_copy, resume_generation, release_copy, abandon_generation>;
using survival_actions = std::vector<survival_action>;

/// \brief Why an order to copy failed.
enum class copy_refusal : std::uint8_t
{
    unknown_generation, ///< Not begun yet, or ended.
    in_progress,
    no_room, ///< At the destination, or it can't be reached.
    unreachable
};

/// \brief Returns a destination for the memory of a generation at `source`; none if there is none.
using destination_choice = std::function<std::optional<state::member_key>(
    state::member_key source, std::span<state::member_key const> excluded)>;

/// \brief The life of a generation across upstreams: copy while it runs, a last copy, resumption.
///
/// At most one upstream works on it at any time: it is resumed only after the source stopped it or
/// the stream from the source ended. Example:
/// \code
/// generation_survival survival{member, choose_destination};
/// survival.source_leaves({refresh_at, last_at}, now, actions);
/// survival.copied(handle, now, actions);   // then, when due, the refresh or the last copy
/// survival.source_ended(now, actions);     // resume at the destination
/// \endcode
class generation_survival
{
public:
    generation_survival(state::member_key source, destination_choice choose);

    /// \brief A copy of the memory grows at `member` from the start.
    void backed_up_at(state::member_key member) noexcept
    {
        backup_ = member;
    }
    /// \brief An upstream leaves or is gone; if it keeps the backup, there is none any more.
    void backup_leaves(state::member_key member, survival_actions& actions);
    /// \brief The source leaves; `times` are those of the copies after the first. Told again when
    /// more is known.
    void source_leaves(copy_times const& times, state::time_point now, survival_actions& actions);
    /// \brief The source answered an order to copy.
    void copied(std::string handle, state::time_point now, survival_actions& actions);
    /// \brief ... or refused it; `handle` is not empty where it stopped the generation nonetheless.
    void copy_refused(copy_refusal why, std::string handle, state::time_point now,
                      survival_actions& actions);
    /// \brief The stream from the source ended without the generation's end.
    void source_ended(state::time_point now, survival_actions& actions);
    /// \brief The first event after a resumption came.
    void resumed(state::time_point now) noexcept;
    /// \brief The resumption did not run.
    void resume_refused(state::time_point now, survival_actions& actions);
    /// \brief The generation ended, or nobody wants it any more.
    void finished(survival_actions& actions);
    /// \brief Does what is due.
    void advance(state::time_point now, survival_actions& actions);

    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return due_;
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
    [[nodiscard]] bool between() const noexcept
    {
        return phase_ == phase::stopped || phase_ == phase::resuming;
    }

    /// \brief Retry of an order that came too early for the generation or for another order.
    static constexpr state::duration copy_retry = std::chrono::milliseconds{40};
    /// \brief Longest time between two orders to a source that can't be reached: each doubles it.
    static constexpr state::duration longest_copy_retry = std::chrono::milliseconds{640};
    /// \brief Destinations that are tried for one departure.
    static constexpr std::size_t destination_limit = 4;
    /// \brief Longest wait for the answer to the last copy after the source's stream ended: the
    /// answer comes when the copy is complete, behind other copies on the link.
    static constexpr state::duration last_copy_wait = std::chrono::milliseconds{1'200};
    /// \brief Tries to resume, at the destination or where the memory was left.
    static constexpr std::uint32_t resume_limit = 4;
    static constexpr state::duration resume_retry = std::chrono::milliseconds{25};

private:
    enum class phase : std::uint8_t
    {
        steady,
        first_copy, ///< Ordered.
        copied,     ///< Waits for the time of the next copy.
        refresh,    ///< Ordered; the copy before is still good.
        last_copy,  ///< Ordered.
        stopped,    ///< Last copy complete; waits for the stream's end.
        resuming,
        ended
    };

    void order_first(survival_actions& actions);
    void order_refresh(survival_actions& actions);
    void order_last(survival_actions& actions);
    void wait_for_next_copy(state::time_point now);
    void resume(survival_actions& actions);
    void resume_from_backup(survival_actions& actions);
    void abandon(survival_actions& actions);

    destination_choice choose_;
    phase phase_ = phase::steady;
    state::member_key source_;
    state::member_key destination_;
    state::member_key backup_;
    /// \brief Where the next resumption goes.
    state::member_key resume_at_;
    state::member_key holder_;
    std::string handle_;
    std::vector<state::member_key> excluded_;
    copy_times times_;
    state::time_point due_ = state::never;
    state::duration unreachable_retry_ = copy_retry;
    std::uint32_t resumes_ = 0;
    bool source_ended_ = false;
    bool source_leaves_ = false;
};

} // namespace plumdale::coordination
