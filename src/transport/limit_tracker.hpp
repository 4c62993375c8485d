#pragma once

#include "decision_log.hpp"

#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/upstream_limits.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string_view>

/// \file
/// \brief The request limits that upstreams state.

namespace plumdale::transport
{

/// \brief Keeps the limits, logs their changes, and has them announced to peers; used on one loop.
class limit_tracker
{
public:
    /// \brief `part` names what is limited in log lines.
    limit_tracker(coordination::fleet_view const& fleet, state::node_id self,
                  coordination::service_directory const& directory, decision_log& log,
                  std::string_view part);

    /// \brief Records that an upstream answered this VM and stated this limit or none.
    void answered(state::member_key member, std::optional<double> per_second);
    /// \brief Applies the limits that a peer sent.
    void apply_updates(std::span<state::stated_limit const> received);
    /// \brief Removes expired limits.
    void sweep();

    [[nodiscard]] coordination::upstream_limits& known() noexcept
    {
        return known_;
    }
    [[nodiscard]] coordination::upstream_limits const& known() const noexcept
    {
        return known_;
    }

    /// \brief Called when there may be limits to announce to peers.
    std::function<void()> on_changed = [] {
    };

private:
    void log_change(coordination::limit_change change, state::member_key member,
                    state::duration age, std::string_view source);

    coordination::fleet_view const& fleet_;
    coordination::service_directory const& directory_;
    decision_log& log_;
    std::string_view part_;
    coordination::upstream_limits known_;
};

/// \brief Returns a limit as log lines and pages show it: requests per minute, -1 for none.
[[nodiscard]] std::int64_t per_minute(std::optional<double> per_second);

} // namespace plumdale::transport
