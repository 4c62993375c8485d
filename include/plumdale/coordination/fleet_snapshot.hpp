#pragma once

#include <plumdale/coordination/upstream_gauge.hpp>
#include <plumdale/state/customer.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/operator_account.hpp>
#include <plumdale/state/preset.hpp>
#include <plumdale/state/preset_stamp.hpp>
#include <plumdale/state/upstream.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

/// \file
/// \brief State of the fleet for request threads, as one immutable value.

namespace plumdale::coordination
{

/// \brief One upstream in a snapshot.
struct upstream_view
{
    state::upstream info;
    /// \brief Shared by all snapshots that hold this upstream in this incarnation.
    std::shared_ptr<upstream_gauge> gauge;
    /// \brief False when it is leaving or presumed dead: it gets no new work.
    bool accepting = true;
};

/// \brief Configuration, members and upstreams as the control plane last published them.
struct fleet_snapshot
{
    /// \brief Raised with each publication; zero for a snapshot that was never published.
    std::uint64_t version = 0;
    /// \brief False until the configuration was read or learnt from a peer; then requests are
    /// refused as `not_ready`.
    bool ready = false;
    /// \brief True from the start of a graceful shutdown.
    bool draining = false;
    /// \brief The newest switch known; `preset` follows it as soon as its content is held.
    state::preset_stamp stamp;
    /// \brief The switch whose preset is in force here.
    state::preset_stamp in_force;
    /// \brief False while reads of the configuration service fail here.
    bool platform_reachable = true;
    state::preset preset;
    /// \brief Sorted by model, then id.
    std::vector<upstream_view> upstreams;
    std::vector<state::customer> customers;
    std::vector<state::operator_account> operators;
    /// \brief Entry VMs other than this one, dead ones included while they are remembered.
    std::vector<state::member> members;
    /// \brief When this VM last learnt that peers presumed it dead; the epoch if never.
    state::time_point presumed_dead_at{};
    /// \brief Presets held here, sorted by name: what an operator can switch to.
    std::vector<state::preset> presets;

    /// \brief Returns the upstreams of one model or service.
    [[nodiscard]] std::span<upstream_view const> upstreams_of(state::model_id model) const noexcept;
    /// \brief Returns the upstream with this id, or null.
    [[nodiscard]] upstream_view const* find_upstream(state::upstream_id id) const noexcept;
    /// \brief Returns the customer with this API key, or null; compares every digest in constant
    /// time.
    [[nodiscard]] state::customer const*
    find_customer(state::sha256_digest const& key) const noexcept;
    /// \brief Returns the operator with this key, or null; compares every digest in constant time.
    [[nodiscard]] state::operator_account const*
    find_operator(state::sha256_digest const& key) const noexcept;
    /// \brief Returns the member with this id, or null.
    [[nodiscard]] state::member const* find_member(state::node_id id) const noexcept;
};

} // namespace plumdale::coordination
