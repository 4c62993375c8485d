#pragma once

#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>

/// \file
/// \brief Selects the peer that sends a call to an upstream for this VM.

namespace plumdale::coordination
{

/// \brief A peer, and where it takes calls.
struct selected_peer
{
    state::node_id node;
    state::endpoint streams;
};

/// \brief Why a peer took no call.
enum class peer_refusal : std::uint8_t
{
    unreachable, ///< No connection to it.
    declined,    ///< It reaches no upstream itself, is busy, or leaves.
    out_of_step, ///< It follows another configuration; one of the two catches up.
    at_capacity, ///< Its shares of upstreams are in use.
};

/// \brief Selects live peers at random, so that calls spread evenly over all that can help, and
/// passes over those that took none a moment ago.
class peer_selector
{
public:
    peer_selector(fleet_view const& fleet, std::minstd_rand& random) noexcept
        : fleet_{fleet}, random_{random}
    {
    }

    /// \brief Returns a live peer of `candidates`, of all if that is empty, that is not in
    /// `excluded`; none if there is none. One that took no call a moment ago is returned if there
    /// is no other, unless it was unreachable.
    [[nodiscard]] std::optional<selected_peer> choose(std::span<state::node_id const> candidates,
                                                      std::span<state::node_id const> excluded,
                                                      state::time_point now);
    /// \brief Passes over a peer for a while.
    void refused(state::node_id node, peer_refusal why, state::time_point now);
    void sweep(state::time_point now);

    /// \brief A peer declines for as long as its own paths are lost, which takes seconds.
    static constexpr state::duration declined_time = std::chrono::milliseconds{500};
    /// \brief A peer that ended counts as live for some time; it starts again within a second.
    static constexpr state::duration unreachable_time = std::chrono::seconds{1};
    /// \brief A configuration reaches all VMs within some tens of milliseconds.
    static constexpr state::duration out_of_step_time = std::chrono::milliseconds{50};
    /// \brief A share is free again with the next answer.
    static constexpr state::duration at_capacity_time = std::chrono::milliseconds{10};

private:
    fleet_view const& fleet_;
    std::minstd_rand& random_;
    struct refusal
    {
        peer_refusal why = peer_refusal::unreachable;
        state::time_point until{};
    };

    std::unordered_map<state::node_id, refusal> refusals_;
};

} // namespace plumdale::coordination
