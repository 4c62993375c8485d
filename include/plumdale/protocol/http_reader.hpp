#pragma once

#include <plumdale/protocol/message_framing.hpp>
#include <plumdale/protocol/message_head.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief Incremental reading of one HTTP/1.1 message.

namespace plumdale::protocol
{

/// \brief Progress of the reader.
enum class read_progress : std::uint8_t
{
    head,     ///< The head is not complete yet.
    body,     ///< The head is complete, the body is not.
    complete, ///< The message is complete; bytes after its end were not consumed.
    malformed ///< The bytes are not an HTTP message, or an ambiguous or oversized one.
};

/// \brief Reads one message from bytes as they arrive.
///
/// `head_framing` and `chunked_body` decide where the message ends and refuse what two readers
/// could see differently; Beast splits a head that they passed. Trailers never become fields.
/// Example: \code http_reader reader{message_role::request, {16384, 1 << 20}};
/// reader.append(bytes);
/// if (reader.progress() == read_progress::complete) { use(reader.head(), reader.take_body()); }
/// \endcode
class http_reader
{
public:
    struct limits
    {
        std::uint32_t head_bytes = 16 * 1024;
        std::uint64_t body_bytes = 1024ULL * 1024;
    };

    http_reader(message_role role, limits bounds);
    http_reader(http_reader&&) noexcept;
    http_reader& operator=(http_reader&&) noexcept;
    ~http_reader();

    /// \brief Consumes bytes; those after the message's end stay in `unconsumed()`.
    read_progress append(std::string_view bytes);
    /// \brief Reports that the connection was closed in order. This completes a body that ends with
    /// the connection; any other message stays as it is.
    read_progress append_eof();

    [[nodiscard]] read_progress progress() const noexcept;
    [[nodiscard]] body_framing framing() const noexcept;
    /// \brief Returns the head; valid once progress is beyond `head`.
    [[nodiscard]] message_head const& head() const noexcept;
    /// \brief Returns the body bytes that arrived since the last call.
    [[nodiscard]] std::string take_body();
    /// \brief Returns bytes that were not consumed: those after the end, or an unfinished head.
    [[nodiscard]] std::string_view unconsumed() const noexcept;
    /// \brief Returns whether any byte arrived.
    [[nodiscard]] bool has_begun() const noexcept;
    /// \brief Returns whether the message is too large for its bounds, when malformed.
    [[nodiscard]] bool is_too_large() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace plumdale::protocol
