#pragma once

#include <plumdale/state/engine_order.hpp>
#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/load_report.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// \file
/// \brief The engines' protocol.

namespace plumdale::protocol
{

/// \brief A token as an engine sent it. A malformed identity is read as an empty one.
struct engine_token
{
    state::generation_id generation;
    std::uint32_t index = 0;
    std::string text;
};

/// \brief The end of an answer as an engine sent it.
struct engine_done
{
    state::generation_id generation;
    std::uint32_t count = 0;
};

using engine_event = std::variant<engine_token, engine_done>;

/// \brief Parameters that start a generation.
struct engine_start
{
    state::generation_id generation;
    std::string_view model;
    state::work_kind kind = state::work_kind::question;
    std::string_view prompt;
    std::uint32_t max_tokens = 0;
};

/// \brief Returns the body that starts a generation.
[[nodiscard]] std::string start_body(engine_start const& start);

/// \brief Decodes the data of one event. Fails with `upstream_fault`.
[[nodiscard]] state::result<engine_event> decode_engine_event(std::string_view data);

/// \brief Decodes a load report without setting its upstream. Fails with `upstream_fault`.
[[nodiscard]] state::result<state::load_report> decode_load(std::string_view body);

/// \brief Returns the body of an order.
[[nodiscard]] std::string order_body(state::engine_order const& order);

/// \brief Decodes the order that an engine follows. Fails with `upstream_fault`.
[[nodiscard]] state::result<state::engine_order> decode_order(std::string_view body);

/// \brief Splits a byte stream into the data lines of server-sent events; buffers an unfinished
/// line.
class event_data_splitter
{
public:
    /// \brief Maximum number of bytes of an unfinished line.
    static constexpr std::size_t line_limit = 65'536;

    /// \brief Adds bytes. Returns false when a line grows past the limit.
    [[nodiscard]] bool append(std::string_view bytes);
    /// \brief Takes the next `data:` line into `data`; returns false when there is none yet.
    [[nodiscard]] bool next(std::string& data);

private:
    std::string buffer_;
    std::size_t start_ = 0;
};

} // namespace plumdale::protocol
