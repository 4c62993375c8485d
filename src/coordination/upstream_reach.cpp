#include <plumdale/coordination/upstream_reach.hpp>

#include <algorithm>

namespace plumdale::coordination
{

reach_change upstream_reach::connected(state::time_point now)
{
    connected_at_ = now;
    failed_.clear();
    bool const was_lost = is_lost();
    lost_since_ = state::never;
    return was_lost ? reach_change::restored : reach_change::none;
}

reach_change upstream_reach::connection_failed(state::member_key member, std::size_t upstreams,
                                               state::time_point now)
{
    if (now < connected_at_ + contact_time && !is_lost())
    {
        return reach_change::none;
    }
    if (now > failed_at_ + failure_lifetime && !is_lost())
    {
        failed_.clear();
    }
    failed_at_ = now;
    bool const is_known = std::find(failed_.begin(), failed_.end(), member) != failed_.end();
    if (!is_known && failed_.size() < min_failed)
    {
        failed_.push_back(member);
    }
    if (is_lost() || failed_.size() < std::min(min_failed, upstreams))
    {
        return reach_change::none;
    }
    lost_since_ = now;
    return reach_change::lost;
}

std::size_t upstream_reach::take_due_probes(state::time_point now)
{
    bool const is_in_doubt = !failed_.empty() && now <= failed_at_ + failure_lifetime;
    if (now < next_probes_at_ || (!is_lost() && !is_in_doubt))
    {
        return 0;
    }
    next_probes_at_ = now + probe_interval;
    return is_lost() ? probes_while_lost : probes_in_doubt;
}

} // namespace plumdale::coordination
