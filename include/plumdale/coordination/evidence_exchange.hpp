#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>

/// \file
/// \brief How entry VMs obtain evidence of ended upstreams that they missed.

namespace plumdale::coordination
{

/// \brief What to send to the peer whose message was received.
struct evidence_answer
{
    /// \brief Send the evidence known here.
    bool should_send = false;
    /// \brief Request the evidence known there.
    bool should_request = false;
};

/// \brief Decides by the digests in peers' messages whether to send or request evidence.
///
/// Example:
/// \code
/// evidence_exchange exchange;
/// auto const answer = exchange.received({own, theirs, is_request, peers, random_value}, now);
/// \endcode
class evidence_exchange
{
public:
    /// \brief A peer's message compared with the state of this VM.
    struct observation
    {
        std::uint64_t own_digest = 0;
        std::uint64_t peer_digest = 0;
        bool is_request = false;
        std::size_t peers = 0;
        std::uint64_t random_value = 0;
    };

    [[nodiscard]] evidence_answer received(observation const& seen, state::time_point now);

    /// \brief A change reaches all VMs within this time; a longer difference means a lost message.
    static constexpr state::duration propagation_time = std::chrono::milliseconds{300};
    /// \brief Minimum time between two requests.
    static constexpr state::duration min_request_interval = std::chrono::milliseconds{200};
    /// \brief Minimum time between two unsolicited answers, and how many VMs on average send one to
    /// a peer whose messages show that it lacks evidence.
    static constexpr state::duration min_unsolicited_interval = std::chrono::milliseconds{50};
    static constexpr std::size_t unsolicited_senders = 3;

private:
    std::uint64_t own_digest_ = 0;
    /// \brief When a peer's digest last matched, or this VM's digest last changed.
    state::time_point agreed_at_{};
    state::time_point sent_at_{};
    state::time_point requested_at_{};
};

} // namespace plumdale::coordination
