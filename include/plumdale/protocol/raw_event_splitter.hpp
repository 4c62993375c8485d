#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Splits a stream of server-sent events into pieces that may be passed on.

namespace plumdale::protocol
{

/// \brief Bytes of a stream as they were sent: a block of fields with the blank line that ends it,
/// or a line outside such a block (a comment, a blank line) or the byte-order mark.
struct raw_event
{
    std::string text;
    /// \brief The block's id, if its last `id` field is a decimal number.
    std::optional<std::uint64_t> id;
    /// \brief The block has data, so it dispatches an event.
    bool is_event = false;
    /// \brief The line feed of a line end whose carriage return ended the piece before.
    bool ends_previous = false;
};

/// \brief Buffers bytes and returns complete pieces; the joined pieces are the stream.
///
/// Lines end with CR, LF or CRLF, as in the standard of the media type. An incomplete line and an
/// incomplete block of fields stay in the buffer. Example:
/// \code
/// raw_event_splitter events;
/// events.append(bytes);
/// while (auto event = events.next()) { send(event->text); }
/// \endcode
class raw_event_splitter
{
public:
    void append(std::string_view bytes);
    /// \brief Returns the next complete piece, or none.
    [[nodiscard]] std::optional<raw_event> next();
    /// \brief Returns how many bytes of an unfinished piece are buffered.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffer_.size() - begin_;
    }
    /// \brief Returns the bytes of the unfinished piece.
    [[nodiscard]] std::string_view unfinished() const noexcept
    {
        return std::string_view{buffer_}.substr(begin_);
    }
    /// \brief Returns whether the last line, if there was one, is complete and ended its block.
    [[nodiscard]] bool is_between_blocks() const noexcept
    {
        return buffered_bytes() == 0 && !in_block_;
    }

    static constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

private:
    [[nodiscard]] raw_event take_piece();
    [[nodiscard]] std::optional<raw_event> take_prefix();
    /// \brief Returns the next complete line without its end, or none.
    [[nodiscard]] std::optional<std::string_view> next_line();
    void read_field(std::string_view line);

    std::string buffer_;
    /// \brief Where the next piece begins.
    std::size_t begin_ = 0;
    /// \brief Where the next line begins.
    std::size_t line_ = 0;
    /// \brief Bytes up to here hold no further end of a line.
    std::size_t searched_ = 0;
    /// \brief The piece that is being read; its text is still in the buffer.
    raw_event piece_;
    bool has_fields_ = false;
    bool in_block_ = false;
    bool is_at_start_ = true;
    bool is_after_cr_ = false;
};

} // namespace plumdale::protocol
