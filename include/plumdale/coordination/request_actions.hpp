#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/error_kind.hpp>
#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Actions that the transport carries out for a request shard.

namespace plumdale::coordination
{

enum class stream_mode : std::uint8_t
{
    start, ///< Run the generation; never sent twice for one that may not be repeated.
    resume ///< Read a generation that the upstream already has; runs nothing.
};

/// \brief Open an exchange with an upstream.
struct open_stream
{
    state::stream_handle stream;
    stream_mode mode = stream_mode::start;
    state::upstream_id upstream;
    state::endpoint address;
    state::generation_id generation;
    std::uint32_t from_index = 0;
    state::work_kind kind = state::work_kind::question;
    state::model_id model;
    std::uint32_t max_tokens = 0;
    std::shared_ptr<std::string const> body;
    std::string path;
};

/// \brief Close the exchange; the shard ignores further events of it.
struct close_stream
{
    state::stream_handle stream;
};

/// \brief Ask an upstream to stop a generation; the last token may arrive before it stops.
struct cancel_generation
{
    state::upstream_id upstream;
    state::endpoint address;
    state::generation_id generation;
};

/// \brief Stop reading from the upstream until `continue_stream`.
struct pause_stream
{
    state::stream_handle stream;
};

struct continue_stream
{
    state::stream_handle stream;
};

/// \brief Send the caller the identity of its generation before any work starts.
struct send_head
{
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
};

/// \brief Forward one token to the caller.
struct send_token
{
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
    std::uint32_t index = 0;
    std::string text;
};

/// \brief End the answer. `text` is the whole answer when the caller does not stream.
struct send_finished
{
    state::caller_handle caller;
    state::generation_id generation;
    std::uint32_t count = 0;
    std::string text;
    /// \brief HTTP status that a plain service answered with.
    std::uint16_t status = 200;
};

/// \brief Refuse a request, or end an interrupted answer. After `send_head` the refusal is sent in
/// the stream.
struct send_refused
{
    state::caller_handle caller;
    state::error_kind kind = state::error_kind::internal;
    state::duration retry_after{};
    state::generation_id generation;
    std::uint32_t next_index = 0;
};

/// \brief Pass the request to the entry VM that owns its generation or key.
struct relay_request
{
    state::caller_handle caller;
    state::node_id node;
    state::endpoint address;
    state::request request;
};

/// \brief Close a relay; the owner sees its caller disconnect.
struct close_relay
{
    state::caller_handle caller;
};

using request_action =
    std::variant<open_stream, close_stream, cancel_generation, pause_stream, continue_stream,
                 send_head, send_token, send_finished, send_refused, relay_request, close_relay>;

/// \brief Buffer that a shard appends its actions to; owned by the code that calls the shard.
using request_actions = std::vector<request_action>;

} // namespace plumdale::coordination
