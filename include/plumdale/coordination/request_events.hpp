#pragma once

#include <plumdale/state/error_kind.hpp>
#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string>
#include <variant>

/// \file
/// \brief Events that the transport reports to a request shard.

namespace plumdale::coordination
{

/// \brief A caller, or a peer that relays for one, sent a request.
struct request_received
{
    state::caller_handle caller;
    state::request request;
    /// \brief The entry VM that relays; zero when the caller is connected to this one.
    state::node_id relayed_by;
};

/// \brief The caller's connection ended.
struct caller_disconnected
{
    state::caller_handle caller;
};

/// \brief The caller reads too slowly: its buffer rose above the high-water mark.
struct caller_blocked
{
    state::caller_handle caller;
};

/// \brief The caller's buffer fell below the low-water mark.
struct caller_ready
{
    state::caller_handle caller;
};

/// \brief The upstream accepted the request and began to answer.
struct upstream_started
{
    state::stream_handle stream;
};

/// \brief One token (or a plain call's body) arrived, with the identity and index the upstream
/// gave.
struct upstream_token
{
    state::stream_handle stream;
    state::generation_id generation;
    std::uint32_t index = 0;
    std::string text;
};

/// \brief The upstream finished its answer of `count` tokens.
struct upstream_finished
{
    state::stream_handle stream;
    state::generation_id generation;
    std::uint32_t count = 0;
    /// \brief HTTP status that a plain service answered with.
    std::uint16_t status = 200;
};

/// \brief How an exchange with an upstream failed.
enum class upstream_failure : std::uint8_t
{
    not_connected,      ///< No connection was made, so nothing was sent: not run.
    refused,            ///< The upstream reported that it did not run the generation.
    unknown_generation, ///< Answer to a resume: the upstream no longer has the generation.
    broken,             ///< The connection ended after data was sent: the generation may have run.
    invalid             ///< The upstream sent data that violates its protocol.
};

/// \brief An exchange with an upstream ended without a complete answer.
struct upstream_failed
{
    state::stream_handle stream;
    upstream_failure cause = upstream_failure::broken;
};

/// \brief The owner's answer to a relayed request: its generation and upstream, before any token.
struct relay_head
{
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
};

/// \brief One token over a relay.
struct relay_token
{
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
    std::uint32_t index = 0;
    std::string text;
};

/// \brief End of a relayed answer; `text` is the whole answer when the caller does not stream.
struct relay_finished
{
    state::caller_handle caller;
    state::generation_id generation;
    std::uint32_t count = 0;
    std::string text;
    std::uint16_t status = 200;
};

/// \brief The owner refused a relayed request.
struct relay_refused
{
    state::caller_handle caller;
    state::error_kind kind = state::error_kind::internal;
    state::duration retry_after{};
    state::generation_id generation;
    std::uint32_t next_index = 0;
};

/// \brief The relay's connection failed.
struct relay_failed
{
    state::caller_handle caller;
    /// \brief Whether the request may have reached the owner.
    bool sent = true;
};

/// \brief The process did not run for a while (its clock jumped); its view of the fleet may be out
/// of date.
struct process_paused
{
    state::duration length{};
};

/// \brief The time returned by `next_deadline()` has come.
struct deadline_reached
{
};

using request_event =
    std::variant<request_received, caller_disconnected, caller_blocked, caller_ready,
                 upstream_started, upstream_token, upstream_finished, upstream_failed, relay_head,
                 relay_token, relay_finished, relay_refused, relay_failed, process_paused,
                 deadline_reached>;

} // namespace plumdale::coordination
