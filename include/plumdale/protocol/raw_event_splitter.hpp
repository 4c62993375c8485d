#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Cuts a stream of server-sent events into whole events.

namespace plumdale::protocol
{

/// \brief One whole event as it was sent, with its empty line.
struct raw_event
{
    std::string text;
    /// \brief Its id, when it has a numeric one.
    std::optional<std::uint64_t> id;
};

/// \brief Collects bytes and hands out whole events; a torn one stays behind.
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
    /// \brief Returns the next whole event, or none.
    [[nodiscard]] std::optional<raw_event> next();
    /// \brief Returns how many bytes of an unfinished event are held.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffer_.size() - begin_;
    }

private:
    std::string buffer_;
    std::size_t begin_ = 0;
};

} // namespace plumdale::protocol
