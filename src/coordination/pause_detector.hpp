#pragma once

#include "shard_core.hpp"

/// \file
/// \brief Detects pauses of the process and holds dispatches until there is a newer snapshot.

namespace plumdale::coordination
{

// A process that was paused resumes with a view of members and upstreams that is as old as the
// pause was long, and other VMs may have taken over its keys: it would send work to an engine that
// has left, or run a key a second time. So it waits a bounded time for a newer snapshot, and treats
// the earlier attempts of every key as unknown.
class pause_detector
{
public:
    explicit pause_detector(shard_core& core) : core_{core} {}

    /// \brief Returns whether `due`, the last requested deadline, is handled so late that the
    /// process must have been paused.
    [[nodiscard]] bool detects_pause(state::time_point due) const
    {
        return started_ && core_.now > due + core_.settings().pause_tolerance;
    }

    /// \brief Records a pause that ends now.
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

    /// \brief Keeps a deadline at most a second ahead, so that a pause shows as a late deadline.
    void tick()
    {
        started_ = true;
        if (core_.now >= next_tick_)
        {
            next_tick_ = core_.now + tick_interval;
            seen_version_ = 0;
        }
    }

    /// \brief Returns whether the members have to be observed again; ends the hold when there is a
    /// newer snapshot.
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
