#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Where an HTTP/1.1 message ends, decided from its raw lines.

namespace plumdale::protocol
{

/// \brief Which message is read.
enum class message_role : std::uint8_t
{
    request,
    answer,
    answer_without_body ///< To a HEAD request.
};

/// \brief How the body's end is known.
enum class body_framing : std::uint8_t
{
    none,
    length,
    chunked,
    until_close ///< Ends when the connection is closed in order.
};

/// \brief Returns the word for a framing in log lines.
[[nodiscard]] std::string_view to_text(body_framing framing) noexcept;

/// \brief Progress of a check.
enum class framing_progress : std::uint8_t
{
    incomplete, ///< All lines so far are sound, more are due.
    complete,
    malformed, ///< The end of the message is not certain.
    too_large  ///< Beyond a bound.
};

/// \brief Checks each line of a head and decides from it how the body is framed.
///
/// Refused are: a line that does not end with CRLF, a folded field, white space before a colon,
/// control characters, a status that no answer has, repeated lengths or codings, both of them, a
/// length that is not all digits, a coding other than `chunked`, any coding in HTTP/1.0, and a
/// Connection field that is no list of names.
class head_framing
{
public:
    explicit constexpr head_framing(message_role role) noexcept : role_{role} {}

    /// \brief Checks the lines that are new in `head`, which is the head from its first byte on and
    /// may have other bytes behind its end.
    [[nodiscard]] framing_progress check(std::string_view head) noexcept;

    /// \brief Returns the length of the head, once it is complete.
    [[nodiscard]] constexpr std::size_t head_bytes() const noexcept
    {
        return line_begin_;
    }
    /// \brief Returns the framing that the fields state, also where no body follows.
    [[nodiscard]] body_framing framing() const noexcept;
    /// \brief Returns whether a body follows the head.
    [[nodiscard]] bool has_body() const noexcept;
    /// \brief Returns the length that the fields state; 0 if none.
    [[nodiscard]] constexpr std::uint64_t length() const noexcept
    {
        return length_;
    }

private:
    [[nodiscard]] bool can_begin_message(std::string_view head) const noexcept;
    [[nodiscard]] bool check_line(std::string_view line) noexcept;
    [[nodiscard]] bool check_request_line(std::string_view line) noexcept;
    [[nodiscard]] bool check_status_line(std::string_view line) noexcept;
    [[nodiscard]] bool check_version(std::string_view version) noexcept;
    [[nodiscard]] bool check_field(std::string_view line) noexcept;
    [[nodiscard]] bool read_length(std::string_view value) noexcept;
    [[nodiscard]] bool read_coding(std::string_view value) noexcept;
    [[nodiscard]] bool read_connection(std::string_view value) noexcept;
    [[nodiscard]] bool never_has_body() const noexcept;

    message_role role_;
    bool is_first_line_ = true;
    bool is_version_1_0_ = false;
    bool has_length_ = false;
    bool has_coding_ = false;
    unsigned status_ = 0;
    std::uint64_t length_ = 0;
    std::size_t line_begin_ = 0;
    std::size_t searched_ = 0;
};

/// \brief Decodes a body in chunks. Chunk extensions and trailers are checked and dropped; trailers
/// that would change how the message is framed, routed, authorized or understood are refused.
class chunked_body
{
public:
    /// \brief `overhead_bytes` bounds each line, the trailers together, and what chunk lines take
    /// beyond a share of the body that they announce.
    constexpr chunked_body(std::uint64_t body_bytes, std::uint32_t overhead_bytes) noexcept
        : body_left_{body_bytes}, overhead_limit_{overhead_bytes}
    {
    }

    /// \brief Appends the decoded bytes to `body`; returns how many bytes were consumed. Those
    /// behind the body's end are not.
    std::size_t read(std::string_view bytes, std::string& body);

    [[nodiscard]] constexpr framing_progress progress() const noexcept
    {
        return progress_;
    }

private:
    enum class part : std::uint8_t
    {
        chunk_line,
        chunk_data,
        chunk_end, ///< The line end behind a chunk's data.
        trailers
    };

    std::size_t read_data(std::string_view bytes, std::string& body);
    std::size_t read_line(std::string_view bytes);
    void keep_partial_line(std::string_view bytes);
    [[nodiscard]] bool can_begin_line(char first) const noexcept;
    void on_line(std::string_view line) noexcept;
    void on_chunk_line(std::string_view line) noexcept;
    void on_chunk_end(std::string_view line) noexcept;
    void on_trailer(std::string_view line) noexcept;
    void begin_chunk(std::uint64_t size, std::size_t line_bytes) noexcept;

    std::uint64_t body_left_;
    std::uint64_t overhead_limit_;
    std::uint64_t chunk_left_ = 0;
    std::uint64_t overhead_ = 0;
    std::uint64_t trailer_bytes_ = 0;
    part part_ = part::chunk_line;
    framing_progress progress_ = framing_progress::incomplete;
    std::string partial_line_;
};

} // namespace plumdale::protocol
