#include <plumdale/coordination/send_gate.hpp>

namespace plumdale::coordination
{

bool send_gate::may_send(directory_entry const& entry, state::service const& service,
                         state::time_point now) const
{
    state::member_key const key = state::key_of(entry.info);
    if (!directory_.may_take_work(entry, now) || !limits_.may_send(key, now))
    {
        return false;
    }
    return !is_cold(entry, service, now) || cold_limiter_.may_send(key, *service.cold, now);
}

// A generation is lost if its resumption can't be sent, and an upstream gets no more resumptions
// than it has memory for. They may exceed this VM's share of what a cold upstream may get or of a
// stated limit, and they count towards both.
bool send_gate::may_resume(directory_entry const& entry, state::time_point now) const
{
    return directory_.may_take_work(entry, now);
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
}

} // namespace plumdale::coordination
