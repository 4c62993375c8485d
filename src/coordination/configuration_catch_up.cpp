#include <plumdale/coordination/configuration_catch_up.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void configuration_catch_up::heard_of(std::uint64_t version, std::uint64_t own,
                                      state::duration interval, state::time_point now)
{
    if (version <= own)
    {
        return;
    }
    bool const is_waiting = wanted_ > own;
    wanted_ = std::max(wanted_, version);
    if (is_waiting)
    {
        return;
    }
    failures_ = 0;
    asking_ = false;
    due_ = now + spread(interval);
}

configuration_source configuration_catch_up::due(std::uint64_t own, state::time_point now)
{
    if (wanted_ <= own || now < due_)
    {
        return configuration_source::none;
    }
    if (asking_)
    {
        ++failures_;
    }
    asking_ = true;
    due_ = now + answer_time;
    return failures_ < peers_asked ? configuration_source::peer : configuration_source::store;
}

void configuration_catch_up::failed(state::time_point now)
{
    if (asking_)
    {
        asking_ = false;
        ++failures_;
        due_ = now + spread(retry);
    }
}

// Half of the time to all of it, so that a fleet that lacks the same doesn't ask together.
state::duration configuration_catch_up::spread(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> of{time.count() / 2, time.count()};
    return state::duration{of(random_)};
}

} // namespace plumdale::coordination
