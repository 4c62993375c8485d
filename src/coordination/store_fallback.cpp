#include <plumdale/coordination/store_fallback.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void store_fallback::wait_from(state::time_point now)
{
    std::uniform_int_distribution<state::duration::rep> jitter{0, max_jitter.count()};
    due_at_ = now + peers_time + state::duration{jitter(random_)};
}

void store_fallback::observe(bool differs, state::time_point now)
{
    if (!differs)
    {
        due_at_ = state::never;
        doublings_ = 0;
    }
    else if (due_at_ == state::never)
    {
        wait_from(now);
    }
}

void store_fallback::progressed(state::time_point now)
{
    if (due_at_ != state::never)
    {
        wait_from(now);
    }
}

bool store_fallback::take_due(std::size_t peers, state::time_point now) noexcept
{
    if (now < due_at_ || now < paused_until_)
    {
        return false;
    }
    state::duration const pause =
        std::max<state::duration>(min_pause, static_cast<std::int64_t>(peers) * min_pause_per_peer);
    paused_until_ = now + pause * (1U << doublings_);
    doublings_ = std::min(doublings_ + 1, max_doublings);
    return true;
}

} // namespace plumdale::coordination
