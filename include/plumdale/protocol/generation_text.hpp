#pragma once

#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Text forms of identities and of event ids.

namespace plumdale::protocol
{

/// \brief Returns `g-<node>-<incarnation>-<sequence>-<mac>` in lower-case hexadecimal.
[[nodiscard]] std::string to_text(state::generation_id const& id);

/// \brief Parses the text form; no value when it is malformed. The MAC is not checked.
[[nodiscard]] std::optional<state::generation_id> parse_generation_id(std::string_view text);

/// \brief An event id: `<generation>@<upstream>/<index>`, where `@<upstream>` may be missing.
struct event_id
{
    state::generation_id generation;
    state::upstream_id upstream;
    std::uint32_t index = 0;
};

/// \brief Returns the text form of an event id.
[[nodiscard]] std::string to_text(event_id const& id);

/// \brief Parses an event id; no value when it is malformed.
[[nodiscard]] std::optional<event_id> parse_event_id(std::string_view text);

/// \brief Returns `value` as 16 hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

/// \brief Parses 1 to 16 lower-case hexadecimal digits.
[[nodiscard]] std::optional<std::uint64_t> parse_hex(std::string_view text);

} // namespace plumdale::protocol
