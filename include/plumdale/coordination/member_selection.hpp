#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/member_table.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

/// \file
/// \brief Selects the few members that are probed, notified or responsible.

namespace plumdale::coordination
{

/// \brief Returns whether a member is not known to be dead.
[[nodiscard]] constexpr bool is_not_dead(state::member const& info) noexcept
{
    return info.health != state::member_health::dead;
}

/// \brief Members that a selection is made from; `self` is never one of them.
struct selection_scope
{
    state::member_table const& table;
    state::node_id self;
    /// \brief Only members of this zone; none for all zones.
    state::zone_id zone;
};

/// \brief Returns the members that follow `self` on a ring ordered by a hash of id and `salt`.
[[nodiscard]] std::vector<state::node_id> ring_successors(selection_scope const& scope,
                                                          std::uint64_t salt, std::size_t count);

/// \brief Returns up to `count` living members, each set equally likely.
[[nodiscard]] std::vector<state::member>
random_members(selection_scope const& scope, std::size_t count, std::minstd_rand& random);

/// \brief Returns whether `self` is among the `count` members of its zone that are responsible for
/// `subject` by rendezvous hashing. Draining members are skipped.
[[nodiscard]] bool is_responsible(state::member_table const& table, state::member const& self,
                                  std::uint64_t subject, std::size_t count, bool own_zone);

} // namespace plumdale::coordination
