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
/// \brief How configurations reach all entry VMs from the one that read them.

namespace plumdale::transport
{

/// \brief What the exchange needs of its surroundings.
struct configuration_callbacks
{
    std::function<std::vector<broadcast_peer>()> peers;
    std::function<void(std::string datagram, state::endpoint to)> send;
    /// \brief Reads the store once; calls its argument where that brings nothing newer.
    std::function<void(std::function<void()> on_not_newer)> read_store;
};

/// \brief Passes newer configurations on as differences, and asks for those that were missed.
class configuration_exchange
{
public:
    configuration_exchange(forward_core& core, configuration_callbacks callbacks);

    /// \brief This VM read a newer configuration from the store: all are to have it.
    void broadcast();
    /// \brief Takes an offer and passes it on; `streams` is where its sender is asked.
    void receive_offer(std::span<char const> datagram, state::endpoint streams);
    /// \brief A peer follows `version`.
    void note_peer_version(std::uint64_t version);
    /// \brief Asks for what is still missing when that is due.
    void advance();

    /// \brief The first byte of a datagram with an offer.
    static constexpr char datagram_tag = 'c';
    /// \brief Path at which peers give out their configuration; the version that the asker has
    /// follows it.
    static constexpr std::string_view target = "/fleet/configuration/";
    /// \brief Returns the body of the answer to a peer that asked at `request_target`.
    [[nodiscard]] std::string answer_to(std::string_view request_target);

private:
    [[nodiscard]] coordination::configuration_offer offer_for(std::uint64_t base) const;
    [[nodiscard]] bool apply(coordination::configuration_offer const& offer);
    void request_offer(state::endpoint peer, std::function<void(bool)> done);
    void forward_offer(coordination::configuration_offer const& offer);

    forward_core& core_;
    configuration_callbacks callbacks_;
    coordination::configuration_catch_up catch_up_;
    /// \brief The answer given last: a fleet that lacks the same version asks for the same.
    std::uint64_t answered_version_ = 0;
    std::uint64_t answered_base_ = 0;
    std::string answer_;
};

} // namespace plumdale::transport
