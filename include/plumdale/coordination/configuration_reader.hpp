#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/node_settings.hpp>

#include <cstdint>
#include <random>

/// \file
/// \brief When this entry VM reads the configuration service.

namespace plumdale::coordination
{

/// \brief Keeps at most one read outstanding: a long poll while this node is a reader of its
/// zone, otherwise a short read at intervals.
class configuration_reader
{
public:
    configuration_reader(node_settings const& settings, std::uint64_t seed);

    /// \brief Appends a read when one is due.
    void advance(bool is_reader, state::time_point now, control_actions& actions);
    void finish(std::uint64_t revision, state::time_point now);
    void fail(state::time_point now);
    /// \brief Drops a read that was outstanding before a pause, and makes the next one due.
    void resume_after_pause(state::time_point now);

    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return next_;
    }
    /// \brief Returns whether several reads in a row failed.
    [[nodiscard]] bool is_service_down() const noexcept;
    /// \brief Returns whether the last completed read succeeded.
    [[nodiscard]] bool reachable() const noexcept
    {
        return failures_ == 0;
    }

private:
    [[nodiscard]] state::duration with_jitter(state::duration time);

    node_settings const& settings_;
    std::minstd_rand random_;
    bool outstanding_ = false;
    bool is_long_poll_ = false;
    bool was_reader_ = false;
    bool read_once_ = false;
    std::uint32_t failures_ = 0;
    std::uint64_t last_revision_ = 0;
    state::time_point started_at_{};
    state::time_point next_{};
};

} // namespace plumdale::coordination
