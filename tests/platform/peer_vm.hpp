#pragma once

#include "forward_fixture.hpp"

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief A second entry VM beside a fixture's, and addresses at which nothing answers.

namespace plumdale::test
{

/// \brief How connections to an address fail.
enum class lost_path : std::uint8_t
{
    refused, ///< At once.
    silent   ///< Their packets are dropped.
};

/// \brief An address to which no connection can be opened.
class dead_address
{
public:
    explicit dead_address(lost_path how);
    dead_address(dead_address const&) = delete;
    dead_address& operator=(dead_address const&) = delete;
    ~dead_address();

    [[nodiscard]] state::endpoint endpoint() const noexcept
    {
        return endpoint_;
    }

private:
    std::vector<int> sockets_;
    state::endpoint endpoint_;
};

/// \brief An entry VM on a fixture's event loop that reaches the fixture's upstreams.
class peer_vm
{
public:
    /// \brief `number` tells several peers apart.
    peer_vm(forward_fixture& fixture, unsigned number);
    ~peer_vm();

    /// \brief Has the fixture's VM know this one as a live peer.
    void join();
    /// \brief Closes all connections from other VMs, like a process that ends.
    void drop_connections();
    /// \brief Refuses what has no answer, as the daemon does when its grace is nearly over.
    void end_grace();

    protocol::forward_settings settings;
    transport::forward_core core;
    /// \brief Limits of the channels from other VMs.
    state::caller_limits limits;

private:
    void accept();

    forward_fixture& fixture_;
    transport::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<transport::caller_channel>> channels_;
    std::uint64_t sequence_ = 0;
};

/// \brief Takes away the paths of a VM to a fixture's upstreams; its open connections live on.
/// `which` are the upstreams, by number; all if empty.
void cut_paths(forward_fixture const& fixture, transport::forward_core& core,
               dead_address const& address, std::vector<std::size_t> const& which = {});
/// \brief Gives a VM its paths to a fixture's upstreams back.
void restore_paths(forward_fixture const& fixture, transport::forward_core& core);

} // namespace plumdale::test
