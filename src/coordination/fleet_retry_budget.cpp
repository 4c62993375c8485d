#include <plumdale/coordination/fleet_retry_budget.hpp>

#include <algorithm>
#include <numeric>

namespace plumdale::coordination
{

fleet_retry_budget::fleet_retry_budget(fleet_retry_limit limit) noexcept : limit_{limit} {}

void fleet_retry_budget::advance_to(state::time_point now) noexcept
{
    state::duration const part = limit_.window / static_cast<std::int64_t>(slot_count);
    std::int64_t const index = now.time_since_epoch() / part;
    std::int64_t const steps =
        std::min<std::int64_t>(index - newest_slot_, static_cast<std::int64_t>(slot_count));
    for (std::int64_t i = 0; i < steps; ++i)
    {
        auto const slot =
            static_cast<std::size_t>((index - i) % static_cast<std::int64_t>(slot_count));
        calls_[slot] = 0;
        retries_[slot] = 0;
    }
    newest_slot_ = std::max(newest_slot_, index);
}

void fleet_retry_budget::note_call(state::time_point now) noexcept
{
    advance_to(now);
    ++calls_[static_cast<std::size_t>(newest_slot_) % slot_count];
}

retry_counts fleet_retry_budget::counts(state::time_point now) noexcept
{
    advance_to(now);
    return {std::accumulate(calls_.begin(), calls_.end(), 0U),
            std::accumulate(retries_.begin(), retries_.end(), 0U)};
}

bool fleet_retry_budget::take(state::time_point now, std::size_t members) noexcept
{
    retry_counts const counted = counts(now);
    double const calls = counted.calls;
    double const retries = counted.retries;
    double const share = limit_.slack / static_cast<double>(std::max<std::size_t>(1, members));
    if (retries + 1.0 > used_fraction * (limit_.ratio * calls + share))
    {
        return false;
    }
    ++retries_[static_cast<std::size_t>(newest_slot_) % slot_count];
    return true;
}

} // namespace plumdale::coordination
