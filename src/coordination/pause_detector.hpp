#pragma once

#include "shard_core.hpp"

/// \file
/// \brief Notices that the process did not run, and holds dispatches until there is news.

namespace plumdale::coordination
{

// A process that was stopped wakes in the middle of what it was doing. What it believes of members
// and upstreams is as old as the stop was long, and others may have taken its keys: it would send
// work to an engine that left, or run a key anew. So it waits for a newer snapshot, for a bounded
// time, and forgets that it knew any key's past.
class pause_detector
{
public:
    explicit pause_detector(shard_core& core) : core_{core} {}

    /// \brief Returns whether `due`, the deadline asked for last, is met so late that the process
    /// can't have run.
    [[nodiscard]] bool detects_pause(state::time_point due) const
    {
        return started_ && core_.now > due + core_.settings().pause_tolerance;
    }

    /// \brief Notes a pause that ends now.
    void paused()
    {
        count(core_.counts.paused);
        core_.hold_until = core_.now + core_.settings().pause_hold;
        version_at_pause_ = core_.context.fleet.version();
        next_tick_ = core_.now;
        if (core_.enabled(safeguard::pause_recheck))
        {
            core_.keys.mark_incomplete_until(core_.now);
        }
    }

    /// \brief Keeps a deadline at most a second ahead, without which lateness could not show.
    void tick()
    {
        started_ = true;
        if (core_.now >= next_tick_)
        {
            next_tick_ = core_.now + tick_interval;
            seen_version_ = 0;
        }
    }

    /// \brief Returns whether the members are to be looked at; ends the hold when there is news.
    [[nodiscard]] bool fleet_changed()
    {
        std::uint64_t const version = core_.context.fleet.version();
        if (core_.on_hold() && version != version_at_pause_)
        {
            core_.hold_until = core_.now;
        }
        return std::exchange(seen_version_, version) != version;
    }

    [[nodiscard]] state::time_point next_tick() const noexcept
    {
        return next_tick_;
    }

private:
    static constexpr state::duration tick_interval = std::chrono::seconds{1};

    shard_core& core_;
    state::time_point next_tick_{};
    std::uint64_t seen_version_ = 0;
    std::uint64_t version_at_pause_ = 0;
    bool started_ = false;
};

} // namespace plumdale::coordination
