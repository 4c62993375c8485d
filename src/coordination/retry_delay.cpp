#include <plumdale/coordination/retry_delay.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Callers honor a retry delay of up to a third of the time they have left.
constexpr double honored_fraction = 1.0 / 3.0;
// The end of a pause is known: callers come back soon after it, but not all at that moment.
constexpr state::duration max_backoff_spread = std::chrono::milliseconds{500};

state::duration fraction_of(double part, state::duration whole) noexcept
{
    return std::chrono::duration_cast<state::duration>(part * whole);
}

} // namespace

// A crowd that was refused within some time comes back spread over as much, or it would meet as it
// did before. Where nothing is known, the later a caller comes back the likelier is capacity.
state::duration draw_retry_after(state::duration time_left, state::duration expected,
                                 double draw) noexcept
{
    state::duration const honored =
        fraction_of(honored_fraction, std::max(state::duration::zero(), time_left));
    bool const is_known = expected > state::duration::zero();
    state::duration const from = is_known ? std::min(expected, honored / 2) : honored / 2;
    state::duration const to = is_known ? std::min(2 * expected, honored) : honored;
    return from + fraction_of(draw, to - from);
}

std::optional<state::duration> draw_retry_after_backoff(state::duration backoff_left,
                                                        state::duration time_left,
                                                        double draw) noexcept
{
    state::duration const honored = fraction_of(honored_fraction, time_left);
    if (backoff_left >= honored)
    {
        return std::nullopt;
    }
    return backoff_left + fraction_of(draw, std::min(max_backoff_spread, honored - backoff_left));
}

} // namespace plumdale::coordination
