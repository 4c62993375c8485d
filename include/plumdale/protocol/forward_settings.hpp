#pragma once

#include <plumdale/coordination/engine_pace.hpp>
#include <plumdale/coordination/fleet_retry_budget.hpp>
#include <plumdale/coordination/load_parts.hpp>
#include <plumdale/coordination/load_update_queue.hpp>
#include <plumdale/protocol/settings.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The settings file of an entry VM that forwards calls.

namespace plumdale::protocol
{

/// \brief Settings of a forwarding `plumdaled`. The file contains `"mode": "forward"`.
struct forward_settings
{
    std::string name; ///< This entry VM, in logs.
    std::string zone;
    state::endpoint callers;   ///< Address to listen on for callers.
    state::endpoint ready;     ///< Address of the balancer's readiness check and of `/metrics`.
    state::endpoint datagrams; ///< UDP, to and from peers.
    state::endpoint streams;   ///< TCP, for peers that request missing data.
    state::endpoint platform;  ///< The platform's store.
    /// \brief Initial peers; their port is replaced by this VM's datagram port.
    std::vector<state::endpoint> seeds;
    std::string fleet_key;
    /// \brief Address and port from which connections to upstreams are opened; zeros for any.
    state::endpoint upstream_source;
    /// \brief Time from SIGTERM until the platform kills the process.
    state::duration grace = std::chrono::seconds{8};
    /// \brief Longest delay of a stream's event in transit that the callers' objective allows.
    state::duration event_delay = std::chrono::milliseconds{120};
    /// \brief Bytes per second spent on reporting starts and ends of generations to peers.
    double load_news_bytes_per_second = coordination::load_update_queue::default_bytes_per_second;
    /// \brief Descriptors that the process may have open; zero for the system's limit.
    std::uint32_t descriptors = 0;
    /// \brief Capacity of the VM's link in Mbit/s; zero if it is unknown.
    double link_mbps = 0.0;
    coordination::fleet_retry_limit retry_limit;
    coordination::engine_pace pace;
    /// \brief Parts that may be on; the configuration decides whether they are.
    coordination::load_part_settings parts{};
};

/// \brief Returns whether a settings file is one of a forwarding entry VM.
[[nodiscard]] bool is_forward_settings(std::string_view text);

/// \brief Decodes and checks such a file as a whole; returns every error in `errors`.
[[nodiscard]] forward_settings decode_forward_settings(std::string_view text,
                                                       std::vector<settings_error>& errors);

} // namespace plumdale::protocol
