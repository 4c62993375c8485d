#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <vector>

/// \file
/// \brief When changes of the own load are told to peers, within a budget of bytes.

namespace plumdale::coordination
{

/// \brief Collects upstreams whose rows changed and gives them out when they are to be told.
///
/// A start that peers don't know of makes them choose the same upstream, and an end that they don't
/// know of leaves memory unused, so both are told at once while the budget lasts, and together when
/// it has grown again.
///
/// Example:
///
/// \code
/// load_update_queue news{load_update_queue::default_bytes_per_second};
/// news.changed(member);
/// for (state::member_key const member : news.due(now, peers)) { ... }
/// \endcode
class load_update_queue
{
public:
    /// \brief `bytes_per_second` is what may be spent, over all peers.
    explicit load_update_queue(double bytes_per_second) noexcept;

    /// \brief Notes that the own load at `member` changed.
    void push(state::member_key member);
    /// \brief Returns the upstreams that are to be told to `peer_count` peers now, and takes them
    /// off; none while the budget doesn't allow it.
    [[nodiscard]] std::vector<state::member_key> take_due(state::time_point now,
                                                          std::size_t peer_count);

    /// \brief Half of the 22 KB/s that an entry VM may spend on control in a fleet of 380.
    static constexpr double default_bytes_per_second = 11'000.0;
    /// \brief Time for whose bytes a burst may spend at once after a calm time.
    static constexpr double burst_seconds = 2.0;
    /// \brief Size of a datagram without rows and of a row, as packed, headers of UDP and IP
    /// included.
    static constexpr double datagram_overhead_bytes = 97.0;
    static constexpr double row_bytes = 20.0;
    /// \brief Rows of one message.
    static constexpr std::size_t max_rows = 32;

private:
    double bytes_per_second_;
    double budget_bytes_;
    state::time_point budget_updated_at_{};
    std::vector<state::member_key> pending_;
};

} // namespace plumdale::coordination
