#pragma once

#include <plumdale/coordination/fleet_retry_budget.hpp>
#include <plumdale/coordination/load_update_queue.hpp>
#include <plumdale/protocol/settings.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The settings file of an entry VM that forwards calls.

namespace plumdale::protocol
{

/// \brief Everything that a forwarding `plumdaled` is told. Its file names `"mode": "forward"`.
struct forward_settings
{
    std::string name; ///< This entry VM, in logs.
    std::string zone;
    state::endpoint callers;   ///< Where callers are heard.
    state::endpoint ready;     ///< Where the balancer asks, and `/metrics`.
    state::endpoint datagrams; ///< UDP, to and from peers.
    state::endpoint streams;   ///< TCP, for peers that ask for what they lack.
    state::endpoint platform;  ///< The platform's store.
    /// \brief Peers to begin with; those without this VM's datagram port get it.
    std::vector<state::endpoint> seeds;
    std::string fleet_key;
    /// \brief Time between SIGTERM and the end that the platform forces.
    state::duration grace = std::chrono::seconds{8};
    /// \brief Longest pause of a stream that its callers' objective allows an event on its way.
    state::duration event_delay = std::chrono::milliseconds{120};
    /// \brief Bytes a second that go on telling peers of starts and ends of generations.
    double load_news_bytes_per_second = coordination::load_update_queue::default_bytes_per_second;
    coordination::fleet_retry_limit retry_limit;
};

/// \brief Returns whether a settings file is one of a forwarding entry VM.
[[nodiscard]] bool is_forward_settings(std::string_view text);

/// \brief Decodes and checks such a file as a whole; returns every error in `errors`.
[[nodiscard]] forward_settings decode_forward_settings(std::string_view text,
                                                       std::vector<settings_error>& errors);

} // namespace plumdale::protocol
