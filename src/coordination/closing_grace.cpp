#include <plumdale/coordination/closing_grace.hpp>

namespace plumdale::coordination
{

// A call whose time ends before the stop is answered, whatever becomes of it. Any other may run on
// as the process ends, and its caller can't know whether it ran: one that may run once is refused,
// since its caller then has another VM send it. One that may be repeated, or is a stream, is sent
// where it usually ends in time, if it came while the balancer may have been unaware of the stop.
bool closing_grace::may_send(call_need const& call, state::time_point now) const noexcept
{
    if (!is_closing())
    {
        return true;
    }
    if (now >= last_answer_at())
    {
        return false;
    }
    if (call.deadline <= last_answer_at())
    {
        return true;
    }
    bool const may_run_once = call.kind == state::call_kind::non_idempotent;
    return !may_run_once && was_read_early(call) && now + call.usual_run <= last_answer_at();
}

bool closing_grace::was_read_early(call_need const& call) const noexcept
{
    return call.read_at <= since_ + early_time;
}

} // namespace plumdale::coordination
