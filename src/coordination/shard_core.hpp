#pragma once

#include "deadline_queue.hpp"

#include <plumdale/coordination/delivery_counts.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/published.hpp>
#include <plumdale/coordination/recent_keys.hpp>
#include <plumdale/coordination/request_actions.hpp>
#include <plumdale/coordination/request_shard.hpp>
#include <plumdale/coordination/safeguards.hpp>

#include <utility>

/// \file
/// \brief State that the parts of one shard share.

namespace plumdale::coordination
{

/// \brief The event's time, the action buffer, the fleet's snapshot and the shard's keys and
/// timers.
struct shard_core
{
    shard_core(shard_context const& shared, std::uint32_t shard)
        : context{shared}, index{shard}, keys{shared.settings.key_window, shared.settings.key_count,
                                              state::time_point::min()},
          fleet_{shared.fleet}
    {
    }

    [[nodiscard]] node_settings const& settings() const noexcept
    {
        return context.settings;
    }

    /// \brief Loads the newest snapshot for the current event. Nothing else does: replacing the
    /// snapshot in the middle of an event would destroy members and upstreams in use.
    void refresh_view()
    {
        view_ = &fleet_.current();
    }

    /// \brief Returns the snapshot used for the current event.
    [[nodiscard]] fleet_snapshot const& view() const noexcept
    {
        return *view_;
    }

    [[nodiscard]] bool enabled(safeguard which) const noexcept
    {
        return context.settings.safeguards.has(which);
    }

    /// \brief Returns whether dispatches wait for a newer snapshot after a pause.
    [[nodiscard]] bool on_hold() const noexcept
    {
        return now < hold_until;
    }

    template <class Action>
    void emit(Action&& action)
    {
        actions->emplace_back(std::forward<Action>(action));
    }

    void refuse(state::caller_handle caller, state::error_kind kind, state::duration retry_after,
                state::generation_id generation = {}, std::uint32_t next_index = 0)
    {
        emit(send_refused{caller, kind, retry_after, generation, next_index});
    }

    /// \brief Refuses with the preset's `retry_after`.
    void refuse(state::caller_handle caller, state::error_kind kind)
    {
        refuse(caller, kind, view().preset.retry_after);
    }

    void add_in_flight() const
    {
        context.in_flight.fetch_add(1, std::memory_order_acq_rel);
    }

    void remove_in_flight() const
    {
        context.in_flight.fetch_sub(1, std::memory_order_acq_rel);
    }

    shard_context context;
    std::uint32_t index;
    recent_keys keys;
    deadline_queue deadlines;
    delivery_counts counts;
    state::time_point now{};
    state::time_point hold_until{};
    request_actions* actions = nullptr;

private:
    cached_reader<fleet_snapshot> fleet_;
    fleet_snapshot const* view_ = nullptr;
};

} // namespace plumdale::coordination
