#pragma once

#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/node_settings.hpp>

#include <random>
#include <span>
#include <vector>

/// \file
/// \brief The upstreams as the platform lists them.

namespace plumdale::coordination
{

/// \brief Keeps the last list that was read and schedules the next read: the longer the list,
/// the less often, so that reading it stays within its share of the control budget.
class upstream_list
{
public:
    upstream_list(node_settings const& settings, std::uint64_t seed);

    void replace(std::span<state::upstream const> listed, state::time_point now);
    void advance(state::time_point now, control_actions& actions);

    [[nodiscard]] upstream_view const* find(state::upstream_id id) const noexcept;
    /// \brief Returns all, sorted by model, then id.
    [[nodiscard]] std::vector<upstream_view> const& views() const noexcept
    {
        return views_;
    }
    [[nodiscard]] state::time_point next_deadline() const noexcept
    {
        return next_;
    }

private:
    [[nodiscard]] state::duration interval();

    node_settings const& settings_;
    std::minstd_rand random_;
    std::vector<upstream_view> views_;
    state::time_point next_{};
};

} // namespace plumdale::coordination
