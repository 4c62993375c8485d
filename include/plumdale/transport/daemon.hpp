#pragma once

#include <plumdale/coordination/entry_node.hpp>
#include <plumdale/protocol/settings.hpp>
#include <plumdale/state/result.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// \brief The entry VM's process.

namespace plumdale::transport
{

/// \brief Makes the dispatch policies once the daemon knows its own identity and endpoints.
using policy_selector =
    std::function<coordination::policy_factory(coordination::node_settings const&)>;

/// \brief How `daemon::run` ended.
struct daemon_outcome
{
    /// \brief Requests still in flight when the drain limit expired; they were aborted.
    std::uint32_t in_flight = 0;
    /// \brief Set when peers know a newer incarnation of this VM: the process must restart with a
    /// greater one.
    std::optional<state::incarnation> replaced_by;
};

/// \brief Carries out the decisions of one `entry_node`: threads, sockets, timers, signals.
class daemon
{
public:
    /// \brief Creates a daemon whose incarnation is greater than `incarnation_floor`.
    daemon(protocol::daemon_settings settings, policy_selector choose_policy,
           state::incarnation incarnation_floor = {});
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    /// \brief Opens the sockets; a port of zero is chosen by the system. Fails with
    /// `connection_failed` when an address is taken.
    [[nodiscard]] state::result<void> open();
    /// \brief Returns the settings with the endpoints that were opened. Call after `open()`.
    [[nodiscard]] protocol::daemon_settings const& settings() const;
    /// \brief Serves until a drain has finished. Call after `open()`.
    daemon_outcome run();

private:
    struct sockets;
    class implementation;

    protocol::daemon_settings settings_;
    policy_selector choose_policy_;
    state::incarnation incarnation_floor_;
    std::unique_ptr<sockets> sockets_;
    std::unique_ptr<implementation> implementation_;
};

} // namespace plumdale::transport
