#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>

/// \file
/// \brief How entry VMs that missed evidence of ended upstreams come by it.

namespace plumdale::coordination
{

/// \brief What to send to the peer whose message was heard.
struct evidence_answer
{
    /// \brief What is known here.
    bool should_send = false;
    /// \brief A question for what is known there.
    bool should_request = false;
};

/// \brief Decides by the digests in peers' messages who tells whom.
///
/// Example:
/// \code
/// evidence_exchange exchange;
/// auto const answer = exchange.heard({own, theirs, was_asked, peers, draw}, now);
/// \endcode
class evidence_exchange
{
public:
    /// \brief A peer's message beside what is known here.
    struct observation
    {
        std::uint64_t own_digest = 0;
        std::uint64_t peer_digest = 0;
        bool is_request = false;
        std::size_t peers = 0;
        /// \brief A random number.
        std::uint64_t random_value = 0;
    };

    [[nodiscard]] evidence_answer received(observation const& seen, state::time_point now);

    /// \brief News of a change reach all within this; above it a difference is a loss.
    static constexpr state::duration propagation_time = std::chrono::milliseconds{300};
    /// \brief Between two questions.
    static constexpr state::duration min_request_interval = std::chrono::milliseconds{200};
    /// \brief Between two answers that nobody asked for, and how many VMs give one on average to
    /// one that shows by its own messages that it lacks something.
    static constexpr state::duration min_unsolicited_interval = std::chrono::milliseconds{50};
    static constexpr std::size_t unsolicited_senders = 3;

private:
    std::uint64_t own_digest_ = 0;
    /// \brief When a peer last knew the same, or what is known here last changed.
    state::time_point agreed_at_{};
    state::time_point sent_at_{};
    state::time_point requested_at_{};
};

} // namespace plumdale::coordination
