#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/fleet_update.hpp>

#include <cstddef>
#include <string>
#include <vector>

/// \file
/// \brief Exchanges and estimates the speeds of upstreams while that part is on.

namespace plumdale::transport
{

/// \brief Keeps the estimates of `forward_core::speeds` up to date and logs their changes.
class speed_tracker
{
public:
    explicit speed_tracker(forward_core& core) noexcept : core_{core} {}

    /// \brief Applies a peer's rows for the upstreams that this VM routes over.
    void apply_update(coordination::fleet_update const& update, state::time_point now);
    /// \brief Adds own rows to a message that has `loads`, of which both share the datagram.
    void add_rows(coordination::fleet_update& update, state::time_point now) const;
    /// \brief Estimates anew when that is due.
    void advance(state::time_point now);

    /// \brief Time between two estimates: a tenth of the time in which a change is to be seen.
    static constexpr state::duration estimate_interval = std::chrono::milliseconds{200};
    /// \brief Most changes that are logged at a time.
    static constexpr std::size_t max_logged_changes = 4;

private:
    [[nodiscard]] std::vector<state::member_key> members_of(state::service const& service) const;
    [[nodiscard]] bool is_routed_over(state::member_key member) const;
    void log_changes(std::span<coordination::speed_change const> changes);

    forward_core& core_;
    state::time_point next_estimate_at_{};
};

/// \brief Returns how many upstreams' speeds are known and how many are slow, for the metrics page.
[[nodiscard]] std::string speed_metrics_text(forward_core const& core);

} // namespace plumdale::transport
