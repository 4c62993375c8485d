#include <plumdale/coordination/drain.hpp>

namespace plumdale::coordination
{
namespace
{

constexpr state::duration check_interval = std::chrono::milliseconds{50};

} // namespace

void drain::begin(state::time_point now) noexcept
{
    // A second signal from an operator or an init system must not cut off answers: the limit counts
    // from the first request, and nothing else changes.
    if (begun_)
    {
        return;
    }
    begun_ = true;
    begun_at_ = now;
    next_check_at_ = now;
}

void drain::advance(std::uint32_t in_flight, state::time_point now, control_actions& actions)
{
    if (!begun_ || finished_ || now < next_check_at_)
    {
        return;
    }
    next_check_at_ = now + check_interval;
    state::duration const waited = now - begun_at_;
    bool const empty = in_flight == 0 && waited >= settings_.drain_settle;
    bool const skipped = !settings_.safeguards.has(safeguard::drain_waits);
    if (empty || skipped || waited >= settings_.drain_limit)
    {
        finished_ = true;
        actions.emplace_back(drain_finished{in_flight});
    }
}

} // namespace plumdale::coordination
