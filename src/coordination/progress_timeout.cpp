#include <plumdale/coordination/progress_timeout.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// Weights of an eighth and a quarter are those of RFC 6298; its factor of four is doubled, since an
// engine that prefills a long prompt holds up the tokens of all others.
constexpr int mean_weight = 8;
constexpr int deviation_weight = 4;
constexpr int deviation_factor = 8;

void duration_estimator::note(state::duration measured) noexcept
{
    if (!std::exchange(measured_, true))
    {
        mean_ = measured;
        deviation_ = measured / 2;
        return;
    }
    state::duration const error = measured > mean_ ? measured - mean_ : mean_ - measured;
    deviation_ += (error - deviation_) / deviation_weight;
    mean_ += (measured - mean_) / mean_weight;
}

state::duration duration_estimator::upper_bound(state::duration shortest,
                                                state::duration longest) const noexcept
{
    if (!measured_)
    {
        return longest;
    }
    state::duration const most = mean_ + deviation_ * deviation_factor;
    return std::clamp(most, std::min(shortest, longest), longest);
}

void progress_timeout::token(state::time_point now) noexcept
{
    started_ = true;
    state::time_point const last = std::exchange(last_, now);
    if (last != state::never)
    {
        gap_.note(now - last);
    }
}

void progress_timeout::restart() noexcept
{
    last_ = state::never;
}

state::duration progress_timeout::timeout(progress_timeout_bounds const& bounds) const noexcept
{
    return started_ ? gap_.upper_bound(bounds.shortest, bounds.longest) : bounds.first;
}

} // namespace plumdale::coordination
