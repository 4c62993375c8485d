#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/control_events.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/coordination/published.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

/// \file
/// \brief Configuration, members, upstreams and drain of one entry VM.

namespace plumdale::coordination
{

/// \brief Handles control events and publishes the snapshot that the shards read.
///
/// Called from one thread at a time.
class control_plane
{
public:
    control_plane(node_settings const& settings, published<fleet_snapshot>& fleet,
                  std::atomic<std::uint32_t> const& in_flight, std::uint64_t seed);
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;
    ~control_plane();

    /// \brief Handles one event and appends the resulting actions.
    void handle(control_event const& event, state::time_point now, control_actions& actions);
    /// \brief Returns when `deadline_reached` is due.
    [[nodiscard]] state::time_point next_deadline() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace plumdale::coordination
