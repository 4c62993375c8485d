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
/// \brief State of one generation while a shard works on it.

namespace plumdale::coordination
{

/// \brief A generation that this shard owns, or reads for a caller after its owner died.
struct generation_record
{
    // -- identity and request ----------------------------------------------------------------
    state::generation_id id;
    /// \brief Identities of earlier starts of the same request.
    std::vector<state::generation_id> former;
    state::request request;
    generation_lifecycle lifecycle;
    /// \brief True when the record only reads a generation that ran elsewhere or earlier.
    bool read_only = false;
    /// \brief Whether the record is counted as in flight.
    bool counted_in_flight = false;

    // -- caller ------------------------------------------------------------------------------
    state::caller_handle caller;
    bool caller_is_peer = false;
    bool head_sent = false;
    /// \brief Whether any caller has received a token.
    bool token_delivered = false;
    std::string collected_text;

    // -- upstream ----------------------------------------------------------------------------
    state::stream_handle stream;
    /// \brief The stream under which the policy accounts for the run.
    state::stream_handle policy_stream;
    state::upstream_id upstream;
    state::endpoint address;
    std::vector<state::upstream_id> failed;
    std::uint32_t starts = 0;
    /// \brief Starts that may have run: sent, and not proven not to have run.
    std::uint32_t possible_runs = 0;
    std::uint32_t resume_attempts = 0;
    std::uint32_t probes = 0;
    /// \brief True while upstreams are probed for the generation.
    bool probing = false;
    /// \brief HTTP status of a plain call's answer.
    std::uint16_t status = 200;
    std::uint32_t next_index = 0;
    /// \brief Tokens of the run that were reported to the policy.
    std::uint32_t reported_tokens = 0;

    // -- times -------------------------------------------------------------------------------
    state::time_point received_at{};
    /// \brief Start time of the run; `never` after its first token.
    state::time_point started_at = state::never;
    progress_timeout gaps;
    state::time_point silent_since = state::never;
    state::time_point resume_at = state::never;
    state::time_point reevaluate_at = state::never;
    state::time_point blocked_since = state::never;
    state::time_point detached_at = state::never;
    state::time_point expires_at = state::never;
    /// \brief Time of the earliest entry for this record in the deadline queue.
    state::time_point timer_at = state::never;

    /// \brief Returns whether the upstream can resume the generation; a plain service can't.
    [[nodiscard]] bool resumable() const noexcept
    {
        return request.kind != state::work_kind::call;
    }
};

} // namespace plumdale::coordination
