#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief What is known about the members, as a table that merges updates.

namespace plumdale::state
{

/// \brief One row of the table.
struct member_entry
{
    member info;
    /// \brief When `info` last changed here.
    time_point changed_at{};
    /// \brief Consecutive probe rounds of this node that failed.
    std::uint32_t failed_rounds = 0;
};

/// \brief What a merge did.
enum class merge_result : std::uint8_t
{
    unchanged, ///< Known already.
    outdated,  ///< Older than the row; or without a row, and dead or beyond `capacity`.
    changed    ///< The table changed.
};

/// \brief Returns whether `a` replaces `b`: by a later incarnation, then a later refutation, then a
/// worse health.
[[nodiscard]] bool is_newer(member const& a, member const& b) noexcept;

/// \brief Members by id. Merging is associative, commutative and idempotent, so tables that
/// exchanged all rows are equal, whatever the order of the updates.
///
/// Example: `if (table.merge(update, now) == merge_result::changed) { queue_update(update.id); }`
class member_table
{
public:
    /// \brief Most rows; updates about further members are dropped.
    static constexpr std::size_t capacity = 4'096;

    merge_result merge(member const& update, time_point now);
    /// \brief Stores `update` even if the table holds a newer state; only for tests that turn the
    /// safeguard off.
    void overwrite(member const& update, time_point now);
    /// \brief Removes members that died before `time`; returns whether there were any.
    bool remove_dead(time_point time);

    [[nodiscard]] member_entry* find(node_id id) noexcept;
    [[nodiscard]] member_entry const* find(node_id id) const noexcept;
    /// \brief Returns all rows, sorted by id.
    [[nodiscard]] std::span<member_entry> entries() noexcept
    {
        return entries_;
    }
    [[nodiscard]] std::span<member_entry const> entries() const noexcept
    {
        return entries_;
    }
    /// \brief Returns up to `count` rows with ids greater than `id`.
    [[nodiscard]] std::span<member_entry const> after(node_id id, std::size_t count) const noexcept;
    /// \brief Returns a digest of all members that are not dead; a suspicion does not change it.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    void replace(member_entry& entry, member const& update, time_point now);

    std::vector<member_entry> entries_;
    std::uint64_t digest_ = 0;
};

} // namespace plumdale::state
