#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

/// \file
/// \brief Whom an entry VM asks for what it missed while it did not run or heard no peer.

namespace plumdale::coordination
{

/// \brief Requests to two peers, and to others in place of those that fail; then to the store.
///
/// No digest is waited for: the messages that would show it may be lost as well. Example:
/// \code
/// requests.begin(fleet.peers().size(), now);
/// if (requests.is_due(now)) { requests.requested(peer); ask the peer }
/// requests.answered(succeeded);
/// if (requests.take_store_turn(now)) { read the store }
/// \endcode
class refresh_requests
{
public:
    explicit refresh_requests(std::minstd_rand& random) noexcept : random_{random} {}

    /// \brief Begins anew, unless it has just begun. In a fleet of many `peers` it waits a random
    /// time, as all VMs may have stood still together.
    void begin(std::size_t peers, state::time_point now);
    /// \brief Returns whether one more peer is to be asked now.
    [[nodiscard]] bool is_due(state::time_point now) const noexcept
    {
        return is_active(now) && now >= begins_at_ && answers_ + outstanding_ < wanted_answers;
    }
    /// \brief Records that `peer` is asked.
    void requested(state::endpoint peer);
    /// \brief Records the end of a request.
    void answered(bool succeeded) noexcept;
    /// \brief Returns, once, that the store is to be read: no peer has answered in time.
    [[nodiscard]] bool take_store_turn(state::time_point now) noexcept;
    /// \brief Returns the peers that were asked; others are asked next.
    [[nodiscard]] std::span<state::endpoint const> asked() const noexcept
    {
        return asked_;
    }

    /// \brief A peer may have missed the same.
    static constexpr std::uint32_t wanted_answers = 2;
    /// \brief Time without an answer after which the store is read: a VM is in touch again within
    /// seconds, and the store takes some of that time.
    static constexpr state::duration peers_time = std::chrono::seconds{1};
    /// \brief Time after which it ends, with however many answers; what differs by then is found
    /// by digests.
    static constexpr state::duration longest_time = std::chrono::seconds{10};
    /// \brief Bounds of the random wait.
    static constexpr state::duration delay_per_peer = std::chrono::microseconds{500};
    static constexpr state::duration max_delay = std::chrono::milliseconds{200};

private:
    [[nodiscard]] bool is_active(state::time_point now) const noexcept
    {
        return began_at_ != state::time_point{} && now < began_at_ + longest_time;
    }

    std::minstd_rand& random_;
    state::time_point began_at_{};
    state::time_point begins_at_{};
    std::uint32_t answers_ = 0;
    std::uint32_t outstanding_ = 0;
    /// \brief Requests of the time before the last beginning that have not ended.
    std::uint32_t outdated_ = 0;
    bool is_stores_turn_ = false;
    std::vector<state::endpoint> asked_;
};

} // namespace plumdale::coordination
