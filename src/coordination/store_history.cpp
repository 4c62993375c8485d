#include <plumdale/coordination/store_history.hpp>
#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

bool store_history::begins_era(std::uint64_t era) noexcept
{
    bool const was_known = std::exchange(is_known_, true);
    if (was_known && era <= era_)
    {
        return false;
    }
    era_ = era;
    came_back_ = was_known;
    first_.reset();
    return was_known;
}

void store_history::note_read(std::uint64_t revision) noexcept
{
    first_ = first_.value_or(revision);
}

// A process that has started in this era has nothing of before that it could confuse.
std::uint64_t store_history::position_of(std::uint64_t revision) const noexcept
{
    bool const may_be_copied = came_back_ && revision <= first_.value_or(revision);
    return may_be_copied ? lagging(revision) : present(revision);
}

std::uint64_t store_history::present(std::uint64_t revision) const noexcept
{
    return state::store_position{era_, revision}.value();
}

std::uint64_t store_history::lagging(std::uint64_t revision) const noexcept
{
    return state::store_position{era_ == 0 ? 0 : era_ - 1, revision}.value();
}

} // namespace plumdale::coordination
