#include <plumdale/coordination/store_position_tracker.hpp>
#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

bool store_position_tracker::advance_era(std::uint64_t era) noexcept
{
    bool const was_known = std::exchange(era_is_known_, true);
    if (was_known && era <= era_)
    {
        return false;
    }
    era_ = era;
    store_was_restored_ = was_known;
    first_revision_.reset();
    return was_known;
}

void store_position_tracker::observe_revision(std::uint64_t revision) noexcept
{
    first_revision_ = first_revision_.value_or(revision);
}

// A process that started in this era holds no entries of an earlier one, so it needs no
// distinction.
std::uint64_t store_position_tracker::position_of(std::uint64_t revision) const noexcept
{
    bool const may_be_copied =
        store_was_restored_ && revision <= first_revision_.value_or(revision);
    return may_be_copied ? lagging_position(revision) : current_position(revision);
}

std::uint64_t store_position_tracker::current_position(std::uint64_t revision) const noexcept
{
    return state::store_position{era_, revision}.value();
}

std::uint64_t store_position_tracker::lagging_position(std::uint64_t revision) const noexcept
{
    return state::store_position{era_ == 0 ? 0 : era_ - 1, revision}.value();
}

} // namespace plumdale::coordination
