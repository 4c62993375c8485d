#include <plumdale/coordination/wait_forecast.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Weight of a new wait in the mean: the last few count, as load changes within a caller's time.
constexpr int waits_in_mean = 4;

} // namespace

void wait_forecast::note_found(bool others_wait, state::time_point now) noexcept
{
    mean_wait_ += (outage(now) - mean_wait_) / waits_in_mean;
    outage_began_ = others_wait ? std::optional{now} : std::nullopt;
    last_none_ = now;
}

void wait_forecast::note_none(bool is_recheck, state::time_point now) noexcept
{
    bool const is_known =
        outage_began_ && (is_recheck || now - last_none_ <= last_none_ - *outage_began_);
    outage_began_ = is_known ? *outage_began_ : now;
    last_none_ = now;
}

state::duration wait_forecast::outage(state::time_point now) const noexcept
{
    return outage_began_ ? now - *outage_began_ : state::duration::zero();
}

// The first in line waits for what is left of the usual time, or for as long again as it has
// waited; each call before another takes the usual time, or the current one if that is longer.
state::duration wait_forecast::expected(std::size_t calls_before,
                                        state::time_point now) const noexcept
{
    state::duration const waited = outage(now);
    state::duration const first = std::max(mean_wait_ - waited, waited);
    return first + static_cast<state::duration::rep>(calls_before) * std::max(mean_wait_, waited);
}

} // namespace plumdale::coordination
