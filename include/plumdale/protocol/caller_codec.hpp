#pragma once

#include <plumdale/protocol/generation_text.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Conversion of callers' HTTP bodies and headers to and from typed values.

namespace plumdale::protocol
{

/// \brief Parts of an HTTP request that are decoded. The views are valid while the request lives.
struct http_request_view
{
    std::string_view method;
    std::string_view target;
    std::string_view body;
    std::string_view authorization;
    std::string_view idempotency_key;
    std::string_view attempt;
    std::string_view generation;
    std::string_view repeatable;
    std::string_view kind;
    std::string_view deadline_ms;
    std::string_view last_event_id;
};

/// \brief Decodes a request. Fails with `invalid_request`, `unauthenticated` (no key) or
/// `unknown_generation` (a malformed identity). A deadline is counted from `now`.
[[nodiscard]] state::result<state::request> decode_request(http_request_view const& message,
                                                           state::time_point now);

/// \brief Returns the server-sent event of one token.
[[nodiscard]] std::string token_event(event_id const& id, std::string_view text);

/// \brief Returns the event that ends a complete stream.
[[nodiscard]] std::string_view done_event() noexcept;

/// \brief Contents of an error object.
struct error_details
{
    state::error_kind kind = state::error_kind::internal;
    std::string_view detail;
    state::duration retry_after{};
    state::generation_id generation;
    std::uint32_t next_index = 0;
};

/// \brief Returns the error object as JSON.
[[nodiscard]] std::string error_body(error_details const& error);

/// \brief Returns the event that ends a stream with an error.
[[nodiscard]] std::string error_event(error_details const& error);

/// \brief Returns the answer to a caller that does not stream.
[[nodiscard]] std::string completion_body(state::generation_id const& id, std::string_view text,
                                          std::uint32_t tokens);

/// \brief Returns the answer to a reservation.
[[nodiscard]] std::string reservation_body(state::generation_id const& id);

} // namespace plumdale::protocol
