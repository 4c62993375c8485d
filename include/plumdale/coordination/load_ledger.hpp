#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief What the fleet's entry VMs have in flight at each upstream.

namespace plumdale::coordination
{

/// \brief Calls in flight at one upstream and the memory that they hold and will hold there.
struct member_load
{
    state::member_key member;
    std::uint32_t calls = 0;
    /// \brief Tokens in memory now: prompts and what was generated.
    std::uint32_t tokens = 0;
    /// \brief Tokens in memory when all of them have ended as estimated.
    std::uint32_t tokens_at_end = 0;
    /// \brief Prompt tokens of calls that have no event yet: what an upstream reads before another
    /// call's first event.
    std::uint32_t pending_prefill_tokens = 0;

    friend constexpr bool operator==(member_load const&, member_load const&) noexcept = default;
};

/// \brief Own calls, exactly, and the peers' as they tell them.
///
/// Upstreams' own reports are half a second old and the same for all who read them, so deciders
/// that follow them choose the same upstream at once. What each entry VM started since is known
/// to its peers within a datagram's delay. Example:
/// \code
/// load_ledger ledger;
/// ledger.add(member, {member, 1, 3000, 3900, 3000});     // a call begins
/// ledger.total(member).tokens;        // own and peers'
/// ledger.remove(member, {member, 1, 3400, 3900, 0});  // it ended
/// \endcode
class load_ledger
{
public:
    /// \brief Counts own calls at `member` in, or out again.
    void add(state::member_key member, member_load const& load);
    void remove(state::member_key member, member_load const& load);

    /// \brief Takes a peer's rows; with `is_complete`, members that are not named have none of its
    /// calls. News that was overtaken within one uptime of the peer is dropped; another uptime
    /// starts anew.
    void apply_update(state::node_id peer, state::incarnation incarnation_number,
                      std::uint64_t sequence, bool is_complete, std::span<member_load const> rows,
                      state::time_point now);
    /// \brief Drops peers that were not heard for `silence`: an entry VM that died is silent, and
    /// its calls end at the upstreams with its connections.
    void forget_silent(state::time_point now, state::duration silence);

    [[nodiscard]] member_load own(state::member_key member) const;
    /// \brief Returns own and peers' calls together.
    [[nodiscard]] member_load total(state::member_key member) const;
    /// \brief Returns the own rows that hold memory, for peers: calls that hold none end before
    /// news of them would arrive.
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
