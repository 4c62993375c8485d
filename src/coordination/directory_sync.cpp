#include <plumdale/coordination/directory_sync.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// Pauses are random so that hundreds of VMs that lack the same rows don't request them at the same
// moment. Where all peers lack them too, requests at the full rate would only fill the links that
// the rows have to come through.
void directory_sync::answered(bool is_new, state::time_point now)
{
    outstanding_ = false;
    pause_ = is_new ? min_pause : std::min(2 * pause_, max_pause);
    std::uniform_int_distribution<state::duration::rep> spread{pause_.count() / 2, pause_.count()};
    next_request_at_ = now + state::duration{spread(random_)};
}

} // namespace plumdale::coordination
