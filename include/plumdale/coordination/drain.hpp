#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/node_settings.hpp>

#include <cstdint>

/// \file
/// \brief Decides when a graceful shutdown is complete.

namespace plumdale::coordination
{

/// \brief Waits until nothing is in flight: at least `drain_settle`, so that the load balancer
/// stops sending requests, and at most `drain_limit`.
class drain
{
public:
    explicit drain(node_settings const& settings) : settings_{settings} {}

    /// \brief Begins the drain; a second call has no effect.
    void begin(state::time_point now) noexcept;
    void advance(std::uint32_t in_flight, state::time_point now, control_actions& actions);

    [[nodiscard]] bool begun() const noexcept
    {
        return begun_;
    }
    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return begun_ && !finished_ ? next_check_at_ : state::never;
    }

private:
    node_settings const& settings_;
    bool begun_ = false;
    bool finished_ = false;
    state::time_point begun_at_{};
    state::time_point next_check_at_ = state::never;
};

} // namespace plumdale::coordination
