#include <plumdale/coordination/connection_admission.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

// Returns how much of what was sent then still counts.
double weight_after(state::duration time)
{
    return std::exp(-std::chrono::duration<double>(time) /
                    std::chrono::duration<double>(connection_admission::link_window));
}

} // namespace

std::string_view to_text(connection_refusal why) noexcept
{
    static constexpr std::array<std::string_view, 7> words{"",        "descriptors", "queue", "lag",
                                                           "reading", "link",        "peers"};
    return words[static_cast<std::size_t>(why)];
}

void connection_admission::queue_empty(state::time_point now) noexcept
{
    queue_empty_at_ = now;
    turn_began_at_ = {};
}

// While connections wait, turns follow each other, so that the time of one is that of the loop's
// other work.
void connection_admission::begin_turn(state::time_point now) noexcept
{
    bool const follows = turn_began_at_ != state::time_point{};
    if (follows && now - turn_began_at_ > target_turn_time)
    {
        batch_ = std::max<std::size_t>(1, batch_ / 2);
    }
    else
    {
        batch_ = std::min(max_batch, batch_ + 1);
    }
    turn_began_at_ = now;
}

connection_refusal connection_admission::decide(connection_load const& load,
                                                state::time_point now) const noexcept
{
    if (!has_descriptors_for(load))
    {
        return connection_refusal::descriptors;
    }
    if (now - queue_empty_at_ > max_queue_time)
    {
        return connection_refusal::queue;
    }
    if (load.loop_lag > max_loop_lag)
    {
        return connection_refusal::lag;
    }
    if (load.reading >= max_reading)
    {
        return connection_refusal::reading;
    }
    if (is_link_full(now))
    {
        return connection_refusal::link;
    }
    std::size_t const through_peers =
        std::clamp(calls_per_peer * load.peers, min_calls_through_peers, max_calls_through_peers);
    bool const are_peers_full = load.is_path_lost && load.calls_through_peers >= through_peers;
    return are_peers_full ? connection_refusal::peers : connection_refusal::none;
}

bool connection_admission::has_descriptors_for(connection_load const& load) const noexcept
{
    if (capacity_.descriptors == 0)
    {
        return true;
    }
    std::size_t const reserved = std::max(min_reserved, capacity_.descriptors / reserved_divisor);
    return load.connections + load.calls + reserved < capacity_.descriptors;
}

void connection_admission::note_sent(std::size_t bytes, state::time_point now) noexcept
{
    recent_bytes_ = recent_bytes_ * weight_after(now - sent_at_) + static_cast<double>(bytes);
    sent_at_ = now;
}

bool connection_admission::is_link_full(state::time_point now) const noexcept
{
    double const allowed = max_link_share * capacity_.link_bytes_per_second *
                           std::chrono::duration<double>(link_window).count();
    return allowed > 0.0 && recent_bytes_ * weight_after(now - sent_at_) > allowed;
}

} // namespace plumdale::coordination
