#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Upstreams that entry VMs could not connect to, shared between them.

namespace plumdale::coordination
{

/// \brief What an entry VM found at an upstream.
enum class suspicion_kind : std::uint8_t
{
    answered,  ///< It answered; refutes all older findings.
    refused,   ///< It refused the connection: nearly certain that its process is gone.
    timed_out, ///< No answer to a connection: the upstream or the path.
};

/// \brief A finding as peers receive it.
struct suspicion_row
{
    state::member_key member;
    suspicion_kind kind = suspicion_kind::answered;
    state::duration age{};
};

/// \brief Decides from the findings of all entry VMs which upstreams are likely gone.
///
/// A suspected upstream stays listed: it only gets no first attempts while others have capacity.
class upstream_suspicions
{
public:
    /// \brief Records an own finding.
    void note(state::member_key member, suspicion_kind kind, state::time_point now);
    /// \brief Applies the findings of a peer in `zone`.
    void apply_update(state::node_id peer, state::zone_id zone, std::span<suspicion_row const> rows,
                      state::time_point now);
    /// \brief Returns whether an upstream should get no first attempts while others can take them.
    [[nodiscard]] bool is_suspected(state::member_key member, state::time_point now) const;
    /// \brief Returns and removes the own findings to be sent to all peers.
    [[nodiscard]] std::vector<suspicion_row> unreported(state::time_point now);
    /// \brief Drops what has aged.
    void sweep(state::time_point now);
};

} // namespace plumdale::coordination
