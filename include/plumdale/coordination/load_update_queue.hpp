#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <vector>

/// \file
/// \brief When changes of the own load are sent to peers, within a byte budget.

namespace plumdale::coordination
{

/// \brief Queues upstreams whose rows changed until their rows are to be sent to peers.
///
/// Peers that miss the start of a call choose the same upstream; peers that miss its end leave
/// memory unused. Both are sent at once while the budget lasts, and otherwise batched until the
/// budget has been refilled.
///
/// Example:
///
/// \code
/// load_update_queue updates{load_update_queue::default_bytes_per_second};
/// updates.push(member);
/// for (state::member_key const member : updates.take_due(now, peers)) { ... }
/// \endcode
class load_update_queue
{
public:
    /// \brief `bytes_per_second` is the budget for all peers together; a message has at most
    /// `rows_per_message` rows.
    explicit load_update_queue(double bytes_per_second,
                               std::size_t rows_per_message = max_rows) noexcept;

    /// \brief Queues an upstream at which the own load changed, unless it is queued already.
    void push(state::member_key member);
    /// \brief Removes and returns the upstreams whose rows are to be sent to `peer_count` peers
    /// now; none while the budget doesn't allow it.
    [[nodiscard]] std::vector<state::member_key> take_due(state::time_point now,
                                                          std::size_t peer_count);

    /// \brief Half of the 22 KB/s that an entry VM may spend on control in a fleet of 380.
    static constexpr double default_bytes_per_second = 11'000.0;
    /// \brief Size of the largest burst, in seconds of the byte rate.
    static constexpr double burst_seconds = 2.0;
    /// \brief Size of a datagram without rows and of a row, as packed, headers of UDP and IP
    /// included.
    static constexpr double datagram_overhead_bytes = 97.0;
    static constexpr double row_bytes = 20.0;
    /// \brief Most rows of one message.
    static constexpr std::size_t max_rows = 32;

private:
    double bytes_per_second_;
    std::size_t rows_per_message_;
    double budget_bytes_;
    state::time_point budget_updated_at_{};
    std::vector<state::member_key> pending_;
};

} // namespace plumdale::coordination
