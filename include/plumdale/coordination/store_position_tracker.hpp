#pragma once

#include <cstdint>
#include <optional>

/// \file
/// \brief Which of the store's revisions are of before it came back from a copy.

namespace plumdale::coordination
{

/// \brief Tells the positions of what the store answers, across its eras.
///
/// What a copy holds is older than what was heard before the store came back, even where its
/// revisions are equal; what was written since is newer, even where they are less. Example:
/// \code
/// store_position_tracker history;
/// if (history.advance_era(answer_era)) { read everything anew }
/// history.observe_revision(revision);
/// item.revision = history.position_of(item.revision);
/// \endcode
class store_position_tracker
{
public:
    /// \brief Takes the era of an answer; returns whether it is later than one that this process
    /// knew.
    bool advance_era(std::uint64_t era) noexcept;
    /// \brief The store told that it was at this revision. The first one of an era bounds what its
    /// copy can hold.
    void observe_revision(std::uint64_t revision) noexcept;
    /// \brief Returns the position of something that was written at a revision.
    [[nodiscard]] std::uint64_t position_of(std::uint64_t revision) const noexcept;
    /// \brief Returns the position at which the store is.
    [[nodiscard]] std::uint64_t current_position(std::uint64_t revision) const noexcept;
    /// \brief Returns the position of something in an answer that may lag: it may be of before the
    /// copy.
    [[nodiscard]] std::uint64_t lagging_position(std::uint64_t revision) const noexcept;
    [[nodiscard]] std::uint64_t era() const noexcept
    {
        return era_;
    }

private:
    std::uint64_t era_ = 0;
    bool era_is_known_ = false;
    /// \brief The era began in this process's life: its first revision, once it is told.
    bool store_was_restored_ = false;
    std::optional<std::uint64_t> first_revision_;
};

} // namespace plumdale::coordination
