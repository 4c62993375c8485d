#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief What the platform's operators configure for forwarded calls.

namespace plumdale::state
{

/// \brief Whether a call may run more than once.
enum class call_kind : std::uint8_t
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< May run at most once.
    streaming       ///< At most once, answered by events with increasing ids.
};

/// \brief A service and its share of a route's calls.
struct weighted_service
{
    std::string service;
    double weight = 1.0;
};

/// \brief Matches calls to services, and states the calls' limits and objectives.
struct route
{
    std::string name;
    std::string host;
    /// \brief Begins the path; begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::non_idempotent;
    /// \brief Longest time that a caller may wait for a final answer.
    duration timeout = std::chrono::seconds{30};
    /// \brief Latency objective: time to the answer or, for a stream, to the first event.
    duration target_latency = std::chrono::seconds{1};
    /// \brief Longest pause between two events of a stream that meets the objective; zero for none.
    duration target_gap{};
    /// \brief Rank, zero is the most urgent.
    std::uint32_t priority = 0;
    /// \brief Most upstreams on which one call may run.
    std::uint32_t max_attempts = 1;
    /// \brief Whether calls need no key.
    bool is_public = false;
    std::vector<weighted_service> services;
};

/// \brief Memory and batch of one upstream of a service that generates tokens.
struct engine_limits
{
    std::uint32_t batch = 0;
    std::uint32_t memory_tokens = 0;
    double bytes_per_token = 0.0;
    double link_megabits = 0.0;
    /// \brief Tokens that one event of a stream holds.
    std::uint32_t tokens_per_event = 1;
    /// \brief How long an unused copy of a generation's memory is kept.
    duration copy_lifetime = std::chrono::seconds{5};
    bool live_migration = false;
    bool backups = false;
};

/// \brief Load limits of a service's upstreams while they are cold.
struct cold_limits
{
    /// \brief Rate from all entry VMs together.
    double requests_per_second = 0.0;
    /// \brief How long an upstream is cold after its start.
    duration time{};
};

/// \brief Identifies a service in tables and datagrams; made from its name.
using service_key = identifier<struct service_key_tag>;

/// \brief A pool of upstreams.
struct service
{
    std::string name;
    /// \brief Connections that one upstream takes from all callers together.
    std::uint32_t max_connections = 100;
    std::optional<engine_limits> engine;
    /// \brief Empty if cold upstreams take the same load as others.
    std::optional<cold_limits> cold;
};

/// \brief Limits on what callers may send.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint32_t body_bytes = 1024 * 1024;
    duration header_timeout = std::chrono::seconds{10};
    duration idle_timeout = std::chrono::seconds{60};
};

/// \brief A customer, its API keys and, if it has one, its priority rank.
struct customer_keys
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;
};

/// \brief One version of the whole configuration. A greater version replaces a smaller one.
struct routing_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// \brief Empty when calls need no keys.
    std::vector<customer_keys> customers;
};

} // namespace plumdale::state
