#include <plumdale/coordination/upstream_backoffs.hpp>

#include <algorithm>

namespace plumdale::coordination
{

bool upstream_backoffs::requested(state::member_key member, state::duration time,
                                  state::time_point now)
{
    state::time_point const end = now + time;
    bool const is_later = time > state::duration::zero() && end > end_of(member);
    if (is_later)
    {
        // Exceptions that were sent count on: the upstream counts them in each of its back-offs
        // that overlap.
        std::uint32_t const sent = is_backing_off(member, now) ? backoffs_[member].sent : 0;
        backoffs_[member] = {end, sent};
    }
    return is_later;
}

state::time_point upstream_backoffs::end_of(state::member_key member) const
{
    auto const found = backoffs_.find(member);
    return found == backoffs_.end() ? state::time_point{} : found->second.end;
}

bool upstream_backoffs::is_backing_off(state::member_key member, state::time_point now) const
{
    return find(member, now) != nullptr;
}

state::duration upstream_backoffs::left(state::member_key member, state::time_point now) const
{
    return std::max(state::duration::zero(), end_of(member) - now);
}

bool upstream_backoffs::may_send_exception(state::member_key member, state::time_point now) const
{
    backoff const* const current = find(member, now);
    return current == nullptr || current->sent < max_exceptions;
}

void upstream_backoffs::note_sent(state::member_key member, state::time_point now)
{
    if (is_backing_off(member, now))
    {
        ++backoffs_[member].sent;
    }
}

void upstream_backoffs::sweep(state::time_point now)
{
    std::erase_if(backoffs_, [now](auto const& row) { return row.second.end <= now; });
}

upstream_backoffs::backoff const* upstream_backoffs::find(state::member_key member,
                                                          state::time_point now) const
{
    auto const found = backoffs_.find(member);
    return found == backoffs_.end() || found->second.end <= now ? nullptr : &found->second;
}

} // namespace plumdale::coordination
