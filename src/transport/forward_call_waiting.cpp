#include "boot_clock.hpp"
#include "forward_call.hpp"
#include "milliseconds.hpp"

#include <algorithm>
#include <utility>

// Whether a call waits, and its place among those that do; forward_call.cpp tries it when it has
// its turn.

namespace plumdale::transport
{

std::uint32_t forward_call::rank() const
{
    bool const has_own = admitted_.customer != nullptr && admitted_.customer->priority;
    return has_own ? *admitted_.customer->priority : admitted_.route->priority;
}

// Only the first call of a line is tried, so it examines upstreams for those behind it too. Where
// peers tell how many wait there, all of them together examine each upstream about once.
std::size_t forward_call::recheck_candidates(state::time_point now) const
{
    state::service const& service = *admitted_.service;
    auto const key = state::id_from_name<state::service_key>(service.name);
    if (core_.parts.is_on(coordination::load_part::ranked_waiting))
    {
        return core_.waiting.candidates(key, core_.directory.members_of(service.name).size(), now);
    }
    return std::clamp<std::size_t>(core_.waiting.own_calls(key), 1,
                                   coordination::waiting_calls::max_candidates);
}

// A new call must not take what others wait for, here or at peers.
bool forward_call::has_turn(state::time_point now)
{
    coordination::waiting_call const place = waiting_place();
    bool const is_first = waiting_id_ ? core_.waiting.is_next(*waiting_id_, now)
                                      : !core_.waiting.goes_after_own(place, now);
    if (!is_first)
    {
        return false;
    }
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    double const chance = core_.waiting.chance(place, now - admitted_.call.read_at,
                                               core_.running_calls(*admitted_.service), now);
    return chance >= 1.0 || draw(core_.random) < chance;
}

coordination::wait_forecast& forward_call::forecast() const
{
    return core_.forecast_of(*admitted_.route);
}

state::duration forward_call::expected_wait(state::time_point now) const
{
    std::size_t const before =
        is_ranked() ? core_.waiting.calls_before(waiting_place(), waiting_id_) : 0;
    return forecast().expected(before, now);
}

bool forward_call::is_worth_waiting(state::time_point now) const
{
    return now < latest_send_ && now + expected_wait(now) < latest_send_;
}

bool forward_call::has_others_waiting() const
{
    return is_ranked() && core_.waiting.has_others(waiting_place(), waiting_id_);
}

void forward_call::wait_or_refuse(bool at_capacity, state::time_point now)
{
    expected_wait_ = expected_wait(now);
    if (is_worth_waiting(now))
    {
        if (is_ranked() && !waiting_id_ && !join_waiting(now))
        {
            return;
        }
        if (!std::exchange(is_waiting_, true))
        {
            log("waiting", at_capacity ? "all upstreams are crowded" : "no upstream");
        }
        excluded_.clear();
        std::uniform_int_distribution<std::int64_t> step{wait_step.count() / 2,
                                                         2 * wait_step.count()};
        retry_at_ = now + state::duration{step(core_.random)};
        return arm_timer();
    }
    core_.metrics.add(is_waiting_ ? forward_count::refused_after_wait
                                  : forward_count::refused_on_arrival);
    // Peers are cut off from the same zones.
    bool const may_hand_over = admitted_.origin.is_peer || !core_.is_any_zone_cut(now);
    if (has_connected_to_none() && may_hand_over)
    {
        return hand_over_or_refuse("no upstream reached", state::error_kind::peer_declined);
    }
    at_capacity ? refuse(state::error_kind::overloaded, "all upstreams are crowded")
                : refuse(state::error_kind::no_upstream, "no upstream");
}

bool forward_call::join_waiting(state::time_point now)
{
    coordination::waiting_call const place = waiting_place();
    core_.waiting.note_arrival(place);
    calls_before_ = core_.waiting.place_of(place, now);
    waiting_id_ = core_.waiting.push(place, now);
    if (!waiting_id_)
    {
        refuse(state::error_kind::overloaded, "too many wait");
        return false;
    }
    core_.metrics.add(forward_count::waits);
    return true;
}

void forward_call::leave_waiting(bool is_served)
{
    if (!waiting_id_)
    {
        return;
    }
    std::uint64_t const id = *std::exchange(waiting_id_, std::nullopt);
    if (!is_served)
    {
        return core_.waiting.remove(id);
    }
    core_.waiting.remove_served(id);
    core_.metrics.add(forward_count::waits_served);
}

} // namespace plumdale::transport
