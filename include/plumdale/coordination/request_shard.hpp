#pragma once

#include <plumdale/coordination/delivery_counts.hpp>
#include <plumdale/coordination/dispatch_policy.hpp>
#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/identity_signer.hpp>
#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/coordination/published.hpp>
#include <plumdale/coordination/request_actions.hpp>
#include <plumdale/coordination/request_events.hpp>

#include <atomic>
#include <memory>

/// \file
/// \brief Decision logic for the requests that one thread handles.

namespace plumdale::coordination
{

/// \brief What all shards of an entry VM share.
struct shard_context
{
    node_settings const& settings;
    identity_signer const& signer;
    published<fleet_snapshot> const& fleet;
    /// \brief Requests in flight over all shards; a drain waits for zero.
    std::atomic<std::uint32_t>& in_flight;
};

/// \brief Owns the generations whose sequence maps to this shard, from request to last token.
///
/// Called from one thread at a time.
class request_shard
{
public:
    request_shard(shard_context context, std::uint32_t index,
                  std::unique_ptr<dispatch_policy> policy);
    request_shard(request_shard const&) = delete;
    request_shard& operator=(request_shard const&) = delete;
    ~request_shard();

    /// \brief Handles one event and appends the resulting actions.
    void handle(request_event const& event, state::time_point now, request_actions& actions);
    /// \brief Returns when `deadline_reached` is due, at most a second ahead: a shard detects a
    /// pause of its process by a deadline that is handled late.
    [[nodiscard]] state::time_point next_deadline() const;
    /// \brief Returns the shard's counters; safe from any thread.
    [[nodiscard]] delivery_counts const& counts() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace plumdale::coordination
