#include <plumdale/coordination/repeat_allowance.hpp>

#include <algorithm>
#include <numeric>

namespace plumdale::coordination
{

repeat_allowance::repeat_allowance(allowance_terms terms) noexcept : terms_{terms} {}

void repeat_allowance::move_to(state::time_point now) noexcept
{
    state::duration const part = terms_.window / static_cast<std::int64_t>(parts);
    std::int64_t const index = now.time_since_epoch() / part;
    std::int64_t const steps =
        std::min<std::int64_t>(index - newest_, static_cast<std::int64_t>(parts));
    for (std::int64_t i = 0; i < steps; ++i)
    {
        auto const slot = static_cast<std::size_t>((index - i) % static_cast<std::int64_t>(parts));
        calls_[slot] = 0;
        repeats_[slot] = 0;
    }
    newest_ = std::max(newest_, index);
}

void repeat_allowance::note_call(state::time_point now) noexcept
{
    move_to(now);
    ++calls_[static_cast<std::size_t>(newest_) % parts];
}

bool repeat_allowance::take(state::time_point now, std::size_t members) noexcept
{
    move_to(now);
    double const calls = std::accumulate(calls_.begin(), calls_.end(), 0U);
    double const repeats = std::accumulate(repeats_.begin(), repeats_.end(), 0U);
    double const share = terms_.slack / static_cast<double>(std::max<std::size_t>(1, members));
    if (repeats + 1.0 > used_part * (terms_.ratio * calls + share))
    {
        return false;
    }
    ++repeats_[static_cast<std::size_t>(newest_) % parts];
    return true;
}

} // namespace plumdale::coordination
