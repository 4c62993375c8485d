#pragma once

#include <plumdale/coordination/generation_lifecycle.hpp>
#include <plumdale/coordination/progress_timeout.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief One generation while a shard works on it.

namespace plumdale::coordination
{

/// \brief A generation that this shard owns, or reads for a caller whose owner died.
struct generation_record
{
    // -- who and what ------------------------------------------------------------------------
    state::generation_id id;
    /// \brief Identities of earlier starts of the same request.
    std::vector<state::generation_id> former;
    state::request request;
    generation_lifecycle lifecycle;
    /// \brief True when it only reads what ran elsewhere or earlier.
    bool read_only = false;
    /// \brief Whether it counts as in flight.
    bool counted_in_flight = false;

    // -- its caller --------------------------------------------------------------------------
    state::caller_handle caller;
    bool caller_is_peer = false;
    bool head_sent = false;
    /// \brief Whether any caller got a token.
    bool token_delivered = false;
    std::string collected_text;

    // -- its upstream ------------------------------------------------------------------------
    state::stream_handle stream;
    /// \brief The stream under which the policy accounts for the run.
    state::stream_handle policy_stream;
    state::upstream_id upstream;
    state::endpoint address;
    std::vector<state::upstream_id> failed;
    std::uint32_t starts = 0;
    /// \brief Starts that may have run: sent, and not proven otherwise.
    std::uint32_t possible_runs = 0;
    std::uint32_t resume_attempts = 0;
    std::uint32_t probes = 0;
    /// \brief True while upstreams are searched for it.
    bool probing = false;
    /// \brief HTTP status of a plain call's answer.
    std::uint16_t status = 200;
    std::uint32_t next_index = 0;
    /// \brief Tokens of the run that the policy was told of.
    std::uint32_t reported_tokens = 0;

    // -- times -------------------------------------------------------------------------------
    state::time_point received_at{};
    /// \brief When it was started, until its first token.
    state::time_point started_at = state::never;
    progress_timeout gaps;
    state::time_point silent_since = state::never;
    state::time_point resume_at = state::never;
    state::time_point reevaluate_at = state::never;
    state::time_point blocked_since = state::never;
    state::time_point detached_at = state::never;
    state::time_point expires_at = state::never;
    /// \brief Earliest time at which the deadline queue looks at this record.
    state::time_point timer_at = state::never;

    /// \brief Returns whether its upstream can be asked for it again; a plain service can't.
    [[nodiscard]] bool resumable() const noexcept
    {
        return request.kind != state::work_kind::call;
    }
};

} // namespace plumdale::coordination
