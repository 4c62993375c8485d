#pragma once

#include <plumdale/coordination/control_plane.hpp>
#include <plumdale/coordination/dispatch_policy.hpp>
#include <plumdale/coordination/identity_signer.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/coordination/published.hpp>
#include <plumdale/coordination/request_shard.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

/// \file
/// \brief Decision logic of one entry VM.

namespace plumdale::coordination
{

/// \brief Makes the dispatch policy of one shard; `shard` counts from zero.
using policy_factory = std::function<std::unique_ptr<dispatch_policy>(std::uint32_t shard)>;

/// \brief The whole decision logic of an entry VM, without I/O, clock, threads or logs.
///
/// A driver feeds events with the time they happened at and carries out the actions. Each shard and
/// the control plane may run on a thread of its own; none of them may be called from two threads at
/// once. Example, with everything on one thread:
/// \code
/// entry_node node{settings, make_policy, seed};
/// request_actions actions;
/// node.handle(shard, request_received{caller, request, {}}, now, actions);
/// \endcode
class entry_node
{
public:
    entry_node(node_settings settings, policy_factory const& make_policy, std::uint64_t seed);
    entry_node(entry_node const&) = delete;
    entry_node& operator=(entry_node const&) = delete;
    ~entry_node();

    /// \brief Returns the shard that decides on this request: the owner's for an identity, one
    /// derived from the key for a keyed request, else `preferred_shard` (below the number of
    /// shards), so that a request can stay on the thread that read it.
    [[nodiscard]] std::uint32_t shard_for(state::request const& request,
                                          std::uint32_t preferred_shard) const noexcept;
    /// \brief Returns the number of shards.
    [[nodiscard]] std::uint32_t shard_count() const noexcept;

    /// \brief Decides on a request event in one shard.
    void handle(std::uint32_t shard, request_event const& event, state::time_point now,
                request_actions& actions);
    /// \brief Decides on a control event.
    void handle(control_event const& event, state::time_point now, control_actions& actions);

    /// \brief Returns when the shard needs a `deadline_reached` event.
    [[nodiscard]] state::time_point next_deadline(std::uint32_t shard) const;
    /// \brief Returns when the control plane needs a `deadline_reached` event.
    [[nodiscard]] state::time_point next_control_deadline() const;

    /// \brief Returns the published snapshot, for status pages and embedders.
    [[nodiscard]] std::shared_ptr<fleet_snapshot const> fleet() const;
    /// \brief Returns a reader of the published snapshot for one thread of its own.
    [[nodiscard]] cached_reader<fleet_snapshot> fleet_reader() const;
    /// \brief Returns a shard's counters, for metrics; safe from any thread.
    [[nodiscard]] delivery_counts const& shard_counts(std::uint32_t shard) const noexcept;
    /// \brief Returns the number of requests in flight.
    [[nodiscard]] std::uint32_t in_flight() const noexcept;

private:
    node_settings settings_;
    identity_signer signer_;
    published<fleet_snapshot> fleet_;
    std::atomic<std::uint32_t> in_flight_{0};
    control_plane control_;
    std::vector<std::unique_ptr<request_shard>> shards_;
};

} // namespace plumdale::coordination
