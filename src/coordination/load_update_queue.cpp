#include <plumdale/coordination/load_update_queue.hpp>

#include <algorithm>
#include <chrono>

namespace plumdale::coordination
{

load_update_queue::load_update_queue(double bytes_per_second, std::size_t rows_per_message) noexcept
    : bytes_per_second_{bytes_per_second}, rows_per_message_{rows_per_message},
      budget_bytes_{burst_seconds * bytes_per_second}
{
}

void load_update_queue::push(state::member_key member)
{
    if (std::find(pending_.begin(), pending_.end(), member) == pending_.end())
    {
        pending_.push_back(member);
    }
}

std::vector<state::member_key> load_update_queue::take_due(state::time_point now,
                                                           std::size_t peer_count)
{
    double const burst = burst_seconds * bytes_per_second_;
    double const gained =
        bytes_per_second_ * std::chrono::duration<double>(now - budget_updated_at_).count();
    budget_bytes_ = std::min(burst, budget_bytes_ + gained);
    budget_updated_at_ = now;
    std::size_t const rows = std::min(pending_.size(), rows_per_message_);
    double const cost = static_cast<double>(peer_count) *
                        (datagram_overhead_bytes + row_bytes * static_cast<double>(rows));
    // A message that costs more than a whole burst is sent when the budget is full.
    bool const is_affordable = std::min(cost, burst) <= budget_bytes_;
    if (rows == 0 || !is_affordable)
    {
        return {};
    }
    budget_bytes_ -= cost;
    auto const end = pending_.begin() + static_cast<std::ptrdiff_t>(rows);
    std::vector<state::member_key> taken{pending_.begin(), end};
    pending_.erase(pending_.begin(), end);
    return taken;
}

} // namespace plumdale::coordination
