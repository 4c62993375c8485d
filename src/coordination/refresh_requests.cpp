#include <plumdale/coordination/refresh_requests.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

void refresh_requests::begin(std::size_t peers, state::time_point now)
{
    bool const has_just_begun = is_active(now) && now < began_at_ + max_delay;
    if (has_just_begun)
    {
        return;
    }
    state::duration const longest =
        std::min<state::duration>(max_delay, static_cast<std::int64_t>(peers) * delay_per_peer);
    std::uniform_int_distribution<state::duration::rep> delay{0, longest.count()};
    began_at_ = now;
    begins_at_ = now + state::duration{delay(random_)};
    answers_ = 0;
    outdated_ += std::exchange(outstanding_, 0);
    is_stores_turn_ = true;
    asked_.clear();
}

void refresh_requests::requested(state::endpoint peer)
{
    ++outstanding_;
    asked_.push_back(peer);
}

void refresh_requests::answered(bool succeeded) noexcept
{
    // Its answer may be older than the pause.
    if (outdated_ != 0)
    {
        --outdated_;
        return;
    }
    --outstanding_;
    answers_ += succeeded ? 1 : 0;
}

bool refresh_requests::take_store_turn(state::time_point now) noexcept
{
    bool const is_due =
        is_stores_turn_ && is_active(now) && answers_ == 0 && now >= began_at_ + peers_time;
    is_stores_turn_ = is_stores_turn_ && !is_due;
    return is_due;
}

} // namespace plumdale::coordination
