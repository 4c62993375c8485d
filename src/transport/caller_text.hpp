#pragma once

#include <plumdale/coordination/request_actions.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief HTTP text sent to callers.

namespace plumdale::transport
{

/// \brief A whole answer.
struct answer_head
{
    unsigned status = 200;
    std::string_view type = "application/json";
    state::generation_id generation;
    std::optional<std::chrono::seconds> retry_after;
    bool closing = false;
};

/// \brief Appends a whole answer.
void append_answer(std::string& out, answer_head const& head, std::string_view body);

/// \brief Appends the head of a streamed answer.
void append_stream_head(std::string& out, coordination::send_head const& head, bool closing);

/// \brief Appends one chunk; an empty one ends the body.
void append_chunk(std::string& out, std::string_view text);

} // namespace plumdale::transport
