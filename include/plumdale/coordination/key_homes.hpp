#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <span>
#include <unordered_map>

/// \file
/// \brief Finds the entry VM that decides on an idempotency key, and reports whether another VM may
/// have decided on it earlier.

namespace plumdale::coordination
{

/// \brief Bounds of `key_homes`.
struct key_home_settings
{
    /// \brief How long after its first attempt a key may be repeated.
    state::duration window;
    /// \brief How long a home has to be dead before the next VM takes its keys.
    state::duration takeover_delay;
    /// \brief Number of entry VMs that the settings name, this one included; if fewer are known,
    /// the member list is incomplete.
    std::size_t configured_nodes = 1;
    /// \brief False hands over the keys of a dead home at once; for tests that show what this
    /// breaks.
    bool takeover_safeguard = true;
};

/// \brief Rendezvous hashing of keys over entry VMs, with a record of the VMs that may have been
/// home.
///
/// Knows the members only from `observe()`; takes no action by itself.
class key_homes
{
public:
    key_homes(state::node_id self, key_home_settings settings);

    /// \brief Records the members known at `now`.
    void observe(std::span<state::member const> members, state::time_point now);
    /// \brief Returns the VM that decides on `key` now.
    [[nodiscard]] state::node_id home_of(state::idempotency_key_id key) const noexcept;
    /// \brief Returns whether no other VM can have been home to `key` within the window.
    [[nodiscard]] bool home_throughout_window(state::idempotency_key_id key) const noexcept;
    /// \brief Returns whether more than half of the VMs, known or configured, are alive.
    [[nodiscard]] bool in_majority() const noexcept
    {
        return in_majority_;
    }
    /// \brief Returns whether at least as many VMs are known as the settings name.
    [[nodiscard]] bool knows_all_nodes() const noexcept;

private:
    struct node_observation
    {
        state::incarnation incarnation_number;
        state::time_point last_alive_at = state::time_point::min();
        state::time_point dead_since = state::never;
        state::time_point unlisted_since = state::never;
        bool left = false;
        std::uint64_t round = 0; ///< Last call of `observe()` that listed the VM.
    };

    void observe_member(state::member const& each, state::time_point now);
    [[nodiscard]] bool may_take_over(node_observation const& dead) const noexcept;

    [[nodiscard]] bool majority_is_alive() const noexcept;

    state::node_id self_;
    key_home_settings settings_;
    state::time_point now_{};
    std::uint64_t round_ = 0;
    bool in_majority_ = false;
    std::unordered_map<state::node_id, node_observation> observations_;
};

} // namespace plumdale::coordination
