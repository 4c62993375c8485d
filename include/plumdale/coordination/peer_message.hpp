#pragma once

#include <plumdale/state/content_ref.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/preset_stamp.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// \brief What entry VMs send each other in datagrams.

namespace plumdale::coordination
{

/// \brief What the receiver of a datagram is to do.
enum class peer_message_kind : std::uint8_t
{
    ping,         ///< Answer with `ack` and the same sequence.
    ack,          ///< The member named in `target` is alive; answers `ping` or `ping_request`.
    ping_request, ///< Ping `target` for the sender and pass its `ack` on.
    update        ///< Read what is piggybacked; no answer.
};

/// \brief A mark that an upstream is leaving; applies to this incarnation and all earlier ones.
struct leaving_mark
{
    state::upstream_id upstream;
    state::incarnation incarnation_number;

    friend constexpr auto operator<=>(leaving_mark const&, leaving_mark const&) noexcept = default;
};

/// \brief An engine's load, rounded for datagrams.
struct load_summary
{
    state::upstream_id upstream;
    /// \brief Sequence of the report it was made from.
    std::uint64_t sequence = 0;
    /// \brief Age of the figures when sent, in units of 10 ms, at most 65,535.
    std::uint16_t age = 0;
    /// \brief Blocks in all, in units of 16.
    std::uint16_t blocks_total = 0;
    /// \brief Occupied share in units of 1/255, rounded up.
    std::uint8_t used_share = 0;
    std::uint8_t running = 0;
    std::uint8_t waiting = 0;

    friend bool operator==(load_summary const&, load_summary const&) noexcept = default;
};

/// \brief Digests of a node's state; if they are equal, there is nothing to exchange.
struct state_digests
{
    std::uint64_t members = 0;
    std::uint64_t marks = 0;
    std::uint64_t content = 0;

    friend constexpr auto operator<=>(state_digests const&,
                                      state_digests const&) noexcept = default;
};

/// \brief One datagram: a message of the failure detector with state piggybacked.
struct peer_message
{
    /// \brief Most bytes of an encoded message, so that it is never fragmented.
    static constexpr std::size_t max_bytes = 1'400;
    /// \brief Most entries of each list; with all four full the bound above holds.
    static constexpr std::size_t max_members = 12;
    static constexpr std::size_t max_marks = 10;
    static constexpr std::size_t max_content = 8;
    static constexpr std::size_t max_loads = 4;

    peer_message_kind kind = peer_message_kind::update;
    /// \brief The sender's own state.
    state::member sender;
    std::uint64_t sequence = 0;
    /// \brief The member that `ping_request` and `ack` are about.
    state::node_id target;
    /// \brief Where `ping_request` finds the target.
    state::endpoint target_address;
    /// \brief Whether the sender serves: it has learnt what is in force since it started or was
    /// paused.
    bool caught_up = false;
    state::preset_stamp stamp;
    state_digests digests;
    /// \brief In a ping: if digests differ, the answer carries members after this id. In an ack:
    /// the last id of the page that it carries; none at the end of the table.
    state::node_id members_after;
    std::vector<state::member> members;
    std::vector<leaving_mark> marks;
    std::vector<state::content_ref> content;
    std::vector<load_summary> loads;

    friend bool operator==(peer_message const&, peer_message const&) noexcept = default;
};

} // namespace plumdale::coordination
