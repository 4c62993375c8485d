#include <plumdale/coordination/configuration_catch_up.hpp>

#include <algorithm>

namespace plumdale::coordination
{

bool configuration_catch_up::note_peer_version(std::uint64_t version, std::uint64_t own_version,
                                               state::duration interval, state::time_point now)
{
    if (version <= own_version)
    {
        return false;
    }
    bool const is_waiting = wanted_version_ > own_version;
    wanted_version_ = std::max(wanted_version_, version);
    if (is_waiting)
    {
        return false;
    }
    failures_ = 0;
    outstanding_ = false;
    due_ = now + with_jitter(interval);
    return true;
}

configuration_source configuration_catch_up::next_source(std::uint64_t own_version,
                                                         state::time_point now)
{
    if (wanted_version_ <= own_version || now < due_)
    {
        return configuration_source::none;
    }
    if (outstanding_)
    {
        ++failures_;
    }
    outstanding_ = true;
    due_ = now + answer_timeout;
    // The store may turn this VM away while its peers have the configuration.
    bool const is_stores_turn = failures_ % (max_peer_attempts + 1) == max_peer_attempts;
    return is_stores_turn ? configuration_source::store : configuration_source::peer;
}

void configuration_catch_up::failed(state::time_point now)
{
    if (outstanding_)
    {
        outstanding_ = false;
        ++failures_;
        due_ = now + with_jitter(retry_delay);
    }
}

// Draws between half of `time` and all of it, so that VMs that lack the same version don't request
// it at once.
state::duration configuration_catch_up::with_jitter(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> of{time.count() / 2, time.count()};
    return state::duration{of(random_)};
}

} // namespace plumdale::coordination
