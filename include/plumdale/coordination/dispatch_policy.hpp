#pragma once

#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/state/error_kind.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>

/// \file
/// \brief The strategy that decides where, when and whether a request runs.

namespace plumdale::coordination
{

enum class dispatch_verdict : std::uint8_t
{
    dispatch, ///< Send it to `upstream` now.
    wait,     ///< Decide again at `reevaluate_at`, or earlier when a stream of the model ends.
    refuse    ///< Refuse at once with `kind` and `retry_after`.
};

/// \brief Result of `dispatch_policy::decide`.
struct dispatch_decision
{
    dispatch_verdict verdict = dispatch_verdict::refuse;
    upstream_view const* upstream = nullptr;
    state::error_kind kind = state::error_kind::overloaded;
    state::duration retry_after{};
    state::time_point reevaluate_at = state::never;
};

/// \brief A request as a policy sees it, with its previous attempts.
struct dispatch_attempt
{
    state::request const& request;
    state::time_point received;
    /// \brief Starts so far; above zero this is a retry.
    std::uint32_t previous_starts = 0;
    /// \brief Upstreams that failed this request already.
    std::span<state::upstream_id const> failed;
};

enum class stream_outcome : std::uint8_t
{
    finished,
    cancelled,
    failed
};

/// \brief Decides for one shard; notified of every start, token and end to account for load.
///
/// One object for each shard, called from that shard's thread only. Policies of several shards
/// share state only through the atomics of `upstream_gauge` and through parts documented as shared.
class dispatch_policy
{
public:
    dispatch_policy() = default;
    dispatch_policy(dispatch_policy const&) = delete;
    dispatch_policy& operator=(dispatch_policy const&) = delete;
    virtual ~dispatch_policy() = default;

    /// \brief Decides on one request.
    [[nodiscard]] virtual dispatch_decision
    decide(dispatch_attempt const& attempt, fleet_snapshot const& fleet, state::time_point now) = 0;
    /// \brief A stream was opened to run `request` on `upstream`.
    virtual void started(state::stream_handle stream, state::request const& request,
                         upstream_view const& upstream, state::time_point now) = 0;
    /// \brief Token `index` of a stream arrived.
    virtual void token(state::stream_handle stream, std::uint32_t index, state::time_point now) = 0;
    /// \brief The stream ended after `tokens` tokens.
    virtual void ended(state::stream_handle stream, std::uint32_t tokens, stream_outcome outcome,
                       state::time_point now) = 0;
};

} // namespace plumdale::coordination
