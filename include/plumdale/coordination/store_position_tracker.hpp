#pragma once

#include <cstdint>
#include <optional>

/// \file
/// \brief Which of the store's revisions predate its restore from a copy.

namespace plumdale::coordination
{

/// \brief Maps revisions in the store's answers to positions, across its eras.
///
/// Entries of a copy are older than entries received before the restore, even if their revisions
/// are equal; entries written since are newer, even if their revisions are smaller. Example:
/// \code
/// store_position_tracker history;
/// if (history.advance_era(answer_era)) { read everything again }
/// history.observe_revision(revision);
/// item.revision = history.position_of(item.revision);
/// \endcode
class store_position_tracker
{
public:
    /// \brief Records the era of an answer; returns whether it is later than the one that this
    /// process knew.
    bool advance_era(std::uint64_t era) noexcept;
    /// \brief Records a revision that the store reports as its current one. The first one of an era
    /// bounds what the copy can hold.
    void observe_revision(std::uint64_t revision) noexcept;
    /// \brief Returns the position of an entry that was written at `revision`.
    [[nodiscard]] std::uint64_t position_of(std::uint64_t revision) const noexcept;
    /// \brief Returns the position of the store when its current revision is `revision`.
    [[nodiscard]] std::uint64_t current_position(std::uint64_t revision) const noexcept;
    /// \brief Returns the position of an entry in an answer that may lag, so that it may predate
    /// the restore.
    [[nodiscard]] std::uint64_t lagging_position(std::uint64_t revision) const noexcept;
    [[nodiscard]] std::uint64_t era() const noexcept
    {
        return era_;
    }

private:
    std::uint64_t era_ = 0;
    bool era_is_known_ = false;
    /// \brief Whether the era began while this process ran; if so, its first revision is kept once
    /// reported.
    bool store_was_restored_ = false;
    std::optional<std::uint64_t> first_revision_;
};

} // namespace plumdale::coordination
