#include <plumdale/coordination/fleet_retry_budget.hpp>

#include <algorithm>

namespace plumdale::coordination
{

fleet_retry_budget::fleet_retry_budget(fleet_retry_limit limit, double rounding) noexcept
    : limit_{limit}, rounding_{rounding}
{
}

// -- counting -------------------------------------------------------------------------------------

void fleet_retry_budget::advance_to(state::time_point now) noexcept
{
    std::int64_t const part = now.time_since_epoch() / (limit_.window / parts);
    std::int64_t const steps = std::min(part - newest_part_, kept_parts);
    for (std::int64_t i = 0; i < steps; ++i)
    {
        auto const index = static_cast<std::size_t>((part - i) % kept_parts);
        calls_[index] = 0;
        retries_[index] = 0;
    }
    newest_part_ = std::max(newest_part_, part);
}

std::uint32_t fleet_retry_budget::sum(part_counts const& counted, std::int64_t first,
                                      std::int64_t last) const noexcept
{
    std::uint32_t total = 0;
    std::int64_t const oldest = std::max<std::int64_t>(0, newest_part_ - kept_parts + 1);
    for (std::int64_t i = std::max(first, oldest); i <= std::min(last, newest_part_); ++i)
    {
        total += counted[static_cast<std::size_t>(i % kept_parts)];
    }
    return total;
}

retry_counts fleet_retry_budget::counts(state::time_point now) noexcept
{
    advance_to(now);
    std::int64_t const first = newest_part_ - parts + 1;
    return {sum(calls_, first, newest_part_), sum(retries_, first, newest_part_)};
}

void fleet_retry_budget::note_call(state::time_point now) noexcept
{
    advance_to(now);
    ++calls_[static_cast<std::size_t>(newest_part_ % kept_parts)];
}

// -- spending -------------------------------------------------------------------------------------

// Only calls that are inside wherever in `part` the window begins: those counted last came before
// the retry that is asked for, so they are in each window that holds it. Of the windows that the
// limit names, the one before is left out: VMs between which callers move would each count the same
// callers, one before they moved and the other after it.
std::uint32_t fleet_retry_budget::paying_calls(std::int64_t part) const noexcept
{
    constexpr std::int64_t half = parts / 2;
    return std::max(sum(calls_, part + 1, part + parts),
                    sum(calls_, part - half + 1, part + half - 1));
}

// Each window that has begun and may hold this retry has to bear it.
bool fleet_retry_budget::reserve(state::time_point now, std::size_t sharers,
                                 retry_priority priority) noexcept
{
    advance_to(now);
    bool const is_owed = priority == retry_priority::owed;
    if (!is_owed && now < owed_until_)
    {
        return false;
    }
    bool const has_slack = sharers > 0;
    double const slack = has_slack ? limit_.slack / static_cast<double>(sharers) : 0.0;
    double const rounding = has_slack ? rounding_ : 0.0;
    double const usable = priority == retry_priority::yielding ? 1.0 - preferred_reserve : 1.0;
    std::uint32_t retries = reserved_;
    for (std::int64_t part = newest_part_; part >= newest_part_ - parts; --part)
    {
        retries += sum(retries_, part, part);
        double const earned = limit_.ratio * paying_calls(part);
        double const allowed = used_fraction * (earned + slack) + rounding;
        if (retries + 1.0 > usable * allowed)
        {
            owed_until_ = is_owed ? now + owed_wait : owed_until_;
            return false;
        }
    }
    owed_until_ = is_owed ? state::time_point{} : owed_until_;
    ++reserved_;
    return true;
}

void fleet_retry_budget::spend(state::time_point now) noexcept
{
    advance_to(now);
    release();
    ++retries_[static_cast<std::size_t>(newest_part_ % kept_parts)];
}

void fleet_retry_budget::release() noexcept
{
    reserved_ -= std::min(reserved_, 1U);
}

bool fleet_retry_budget::take(state::time_point now, std::size_t sharers,
                              retry_priority priority) noexcept
{
    if (!reserve(now, sharers, priority))
    {
        return false;
    }
    spend(now);
    return true;
}

} // namespace plumdale::coordination
