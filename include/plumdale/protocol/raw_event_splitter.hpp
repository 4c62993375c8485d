#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Splits a stream of server-sent events into complete events.

namespace plumdale::protocol
{

/// \brief One complete event as it was sent, with the empty line that ends it.
struct raw_event
{
    std::string text;
    /// \brief The event's id, if it has a numeric one.
    std::optional<std::uint64_t> id;
};

/// \brief Buffers bytes and returns complete events; an incomplete event stays in the buffer.
///
/// Example:
/// \code
/// raw_event_splitter events;
/// events.append(bytes);
/// while (auto event = events.next()) { send(event->text); }
/// \endcode
class raw_event_splitter
{
public:
    void append(std::string_view bytes);
    /// \brief Returns the next complete event, or none.
    [[nodiscard]] std::optional<raw_event> next();
    /// \brief Returns how many bytes of an unfinished event are buffered.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffer_.size() - begin_;
    }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
};

} // namespace plumdale::protocol
