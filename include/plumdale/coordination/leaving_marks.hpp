#pragma once

#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/update_queue.hpp>
#include <plumdale/state/upstream.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

/// \file
/// \brief Which incarnations of upstreams are leaving.

namespace plumdale::coordination
{

/// \brief Marks that only grow: once an incarnation of an upstream is marked, it stays marked.
///
/// Example: `if (marks.add({upstream, incarnation}, fleet_size)) { members.request_gossip(); }`
class leaving_marks
{
public:
    /// \brief Most upstreams with a mark; the marks of the oldest incarnations are dropped first.
    static constexpr std::size_t capacity = 4'096;

    /// \brief Marks this incarnation and earlier ones; returns whether the mark is new.
    bool add(leaving_mark mark, std::size_t fleet_size);
    /// \brief Removes the upstream's mark if it is older than `newest`, the latest incarnation
    /// known.
    void prune(state::upstream_id upstream, state::incarnation newest);
    [[nodiscard]] bool is_leaving(state::upstream_id upstream,
                                  state::incarnation incarnation_number) const noexcept;

    /// \brief Adds marks to a message: new ones first, then others if the receiver's digest
    /// differs.
    void piggyback(peer_message& message, bool differs);
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    void drop_oldest();

    std::map<state::upstream_id, state::incarnation> marks_;
    update_queue<state::upstream_id> updates_;
    std::uint64_t digest_ = 0;
    std::size_t next_index_ = 0;
};

} // namespace plumdale::coordination
