#include <plumdale/coordination/send_gate.hpp>

#include <algorithm>

namespace plumdale::coordination
{

bool send_gate::may_send(directory_entry const& entry, state::service const& service,
                         state::time_point now) const
{
    state::member_key const key = state::key_of(entry.info);
    bool const is_open = directory_.may_take_work(entry, now) &&
                         !backoffs_.is_backing_off(key, now) && limits_.may_send(key, now) &&
                         refusals_.may_send(key, now);
    if (!is_open)
    {
        return false;
    }
    return !is_cold(entry, service, now) || cold_limiter_.may_send(key, *service.cold, now);
}

// A generation is lost if its resumption can't be sent, and an upstream gets no more resumptions
// than it has memory for. They may exceed this VM's share of what a cold upstream may get or of a
// stated limit, and they count towards both. An upstream that ends of one refusal too many loses
// all its generations, so the bound on refusals holds for them too.
bool send_gate::may_resume(directory_entry const& entry, state::time_point now) const
{
    return directory_.may_take_resumption(entry, now) &&
           backoffs_.may_send_exception(state::key_of(entry.info), now) &&
           refusals_.may_send(state::key_of(entry.info), now);
}

// Orders go to upstreams that leave as well: most of them fetch what is still there.
bool send_gate::may_order(state::member_key member, state::time_point now) const
{
    return backoffs_.may_send_exception(member, now);
}

std::optional<state::time_point> send_gate::backoffs_end(std::string_view service,
                                                         state::time_point now) const
{
    state::time_point first = state::never;
    for (state::member_key const key : directory_.members_of(service))
    {
        directory_entry const* const entry = directory_.find(key);
        bool const is_counted = entry != nullptr && directory_.may_take_work(*entry, now);
        if (is_counted && !backoffs_.is_backing_off(key, now))
        {
            return std::nullopt;
        }
        first = is_counted ? std::min(first, backoffs_.end_of(key)) : first;
    }
    return first == state::never ? std::nullopt : std::optional{first};
}

std::optional<state::member_key> send_gate::upstream_without_share(state::service const& service,
                                                                   std::size_t first,
                                                                   state::time_point now) const
{
    auto const members = directory_.members_of(service.name);
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        state::member_key const key = members[(first + i) % members.size()];
        directory_entry const* const entry = directory_.find(key);
        bool const lacks_share = entry != nullptr && directory_.may_take_work(*entry, now) &&
                                 !backoffs_.is_backing_off(key, now) &&
                                 limits_.may_send(key, now) && !refusals_.may_send(key, now);
        if (lacks_share)
        {
            return key;
        }
    }
    return std::nullopt;
}

// An upstream that was unreachable for a while may have become cold, and all entry VMs find it
// empty at the same moment.
bool send_gate::is_cold(directory_entry const& entry, state::service const& service,
                        state::time_point now) const
{
    if (!service.cold)
    {
        return false;
    }
    state::time_point const ejection_end = health_.ejected_until(state::key_of(entry.info));
    bool const was_ejected =
        ejection_end != state::time_point{} && now < ejection_end + service.cold->time;
    return was_ejected || now < directory_.cold_until(entry, *service.cold);
}

void send_gate::note_sent(directory_entry const& entry, state::service const& service,
                          state::time_point now)
{
    state::member_key const key = state::key_of(entry.info);
    if (is_cold(entry, service, now))
    {
        cold_limiter_.note_sent(key, now);
    }
    limits_.note_sent(key, now);
    backoffs_.note_sent(key, now);
    refusals_.note_sent(key);
}

void send_gate::note_ordered(state::member_key member, state::time_point now)
{
    backoffs_.note_sent(member, now);
}

} // namespace plumdale::coordination
