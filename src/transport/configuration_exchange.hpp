#pragma once

#include "broadcast_targets.hpp"
#include "forward_core.hpp"

#include <plumdale/coordination/configuration_catch_up.hpp>
#include <plumdale/coordination/configuration_offer.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Distribution of configurations from the entry VM that read them to all others.

namespace plumdale::transport
{

/// \brief Functions that the exchange calls to reach peers and the store.
struct configuration_callbacks
{
    std::function<std::vector<broadcast_peer>()> peers;
    std::function<void(std::string datagram, state::endpoint to)> send;
    /// \brief Reads the store once; calls its argument if the store has nothing newer.
    std::function<void(std::function<void()> on_not_newer)> read_store;
};

/// \brief Forwards newer configurations as patches, and requests those that were missed.
class configuration_exchange
{
public:
    configuration_exchange(forward_core& core, configuration_callbacks callbacks);

    /// \brief Broadcasts a newer configuration that this VM read from the store.
    void broadcast();
    /// \brief Applies an offer and forwards it; `streams` is the address at which its sender serves
    /// its configuration.
    void receive_offer(std::span<char const> datagram, state::endpoint streams);
    /// \brief Records that a peer uses `version`.
    void note_peer_version(std::uint64_t version);
    /// \brief Requests a missing configuration when a request is due.
    void advance();

    /// \brief The first byte of a datagram with an offer.
    static constexpr char datagram_tag = 'c';
    /// \brief Path at which peers serve their configuration, followed by the version that the
    /// requester has.
    static constexpr std::string_view target = "/fleet/configuration/";
    /// \brief Returns the response body for a peer's request to `request_target`.
    [[nodiscard]] std::string answer_to(std::string_view request_target);

private:
    [[nodiscard]] coordination::configuration_offer offer_for(std::uint64_t base) const;
    [[nodiscard]] bool apply(coordination::configuration_offer const& offer);
    void log_progress(std::string_view decision, std::uint64_t wanted, std::string_view asked);
    void request_offer(state::endpoint peer, std::function<void(bool)> done);
    void forward_offer(coordination::configuration_offer const& offer);
    /// \brief Requests an offer's configuration from `streams`, then forwards the offer.
    void request_and_forward(coordination::configuration_offer const& offer,
                             state::endpoint streams);

    forward_core& core_;
    configuration_callbacks callbacks_;
    coordination::configuration_catch_up catch_up_;
    /// \brief Offers to forward once the requested configuration has arrived.
    std::vector<coordination::configuration_offer> unforwarded_;
    /// \brief The last answer, cached: peers that lack the same version request the same answer.
    std::uint64_t answered_version_ = 0;
    std::uint64_t answered_base_ = 0;
    std::string answer_;
};

} // namespace plumdale::transport
