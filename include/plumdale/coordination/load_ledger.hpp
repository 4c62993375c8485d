#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Calls and memory that the fleet's entry VMs have in flight at each upstream.

namespace plumdale::coordination
{

/// \brief Calls in flight at one upstream, with the memory that they hold now and at their end.
struct member_load
{
    state::member_key member;
    std::uint32_t calls = 0;
    /// \brief Tokens in memory now: prompts and what was generated.
    std::uint32_t tokens = 0;
    /// \brief Tokens in memory when all of them have ended as estimated.
    std::uint32_t tokens_at_end = 0;
    /// \brief Prompt tokens of calls that have no event yet: the upstream processes them before
    /// another call's first event.
    std::uint32_t pending_prefill_tokens = 0;

    friend constexpr bool operator==(member_load const&, member_load const&) noexcept = default;
};

/// \brief Counts own calls exactly, and peers' calls as the peers report them.
///
/// Upstreams' own reports are half a second old and the same for all readers, so entry VMs that
/// rely on them alone choose the same upstream at once. Calls that each entry VM started since are
/// known to its peers within a datagram's delay. Example:
/// \code
/// load_ledger ledger;
/// ledger.add(member, {member, 1, 3000, 3900, 3000});     // a call begins
/// ledger.total(member).tokens;        // own and peers'
/// ledger.remove(member, {member, 1, 3400, 3900, 0});  // it ended
/// \endcode
class load_ledger
{
public:
    /// \brief Adds own calls at `member` when they start and removes them when they end.
    void add(state::member_key member, member_load const& load);
    void remove(state::member_key member, member_load const& load);

    /// \brief Applies a peer's rows. With `is_complete`, the peer has no calls at members without a
    /// row. An update with an old sequence number of the same incarnation is dropped; another
    /// incarnation replaces all rows of the peer.
    void apply_update(state::node_id peer, state::incarnation incarnation_number,
                      std::uint64_t sequence, bool is_complete, std::span<member_load const> rows,
                      state::time_point now);
    /// \brief Drops peers without a message for `silence`: the calls of an entry VM that died end
    /// at the upstreams with its connections.
    void forget_silent(state::time_point now, state::duration silence);

    [[nodiscard]] member_load own(state::member_key member) const;
    /// \brief Returns own and peers' calls together.
    [[nodiscard]] member_load total(state::member_key member) const;
    /// \brief Returns the own rows that hold memory, for peers: calls that hold none end before
    /// an update on them would arrive.
    [[nodiscard]] std::vector<member_load> own_generations() const;

private:
    struct peer_rows
    {
        state::incarnation incarnation_number;
        std::uint64_t sequence = 0;
        state::time_point last_contact{};
        std::unordered_map<state::member_key, member_load> rows;
    };

    void replace(peer_rows& peer, member_load const& row);
    void clear(peer_rows& peer);

    std::unordered_map<state::member_key, member_load> own_;
    std::unordered_map<state::member_key, member_load> peers_total_;
    std::unordered_map<state::node_id, peer_rows> peers_;
};

} // namespace plumdale::coordination
