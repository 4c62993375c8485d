#pragma once

#include <plumdale/protocol/http_reader.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Reads the final answer to a request.

namespace plumdale::protocol
{

/// \brief An `http_reader` of answers that passes over interim ones, up to a bound.
class answer_reader
{
public:
    answer_reader(message_role role, http_reader::limits bounds);

    /// \brief Consumes bytes; those after the final answer's end stay in `unconsumed()`.
    read_progress append(std::string_view bytes);
    /// \brief Reports that the connection was closed in order.
    read_progress append_eof();

    /// \brief Returns the progress of the final answer; malformed after too many interim ones.
    [[nodiscard]] read_progress progress() const noexcept;
    [[nodiscard]] body_framing framing() const noexcept
    {
        return reader_.framing();
    }
    /// \brief Returns the head; valid once progress is beyond `head`.
    [[nodiscard]] message_head const& head() const noexcept
    {
        return reader_.head();
    }
    /// \brief Returns the body bytes that arrived since the last call.
    [[nodiscard]] std::string take_body()
    {
        return reader_.take_body();
    }
    [[nodiscard]] std::string_view unconsumed() const noexcept
    {
        return reader_.unconsumed();
    }

private:
    [[nodiscard]] bool has_interim_answer() const noexcept;
    [[nodiscard]] bool has_too_many() const noexcept;

    message_role role_;
    http_reader::limits bounds_;
    http_reader reader_;
    std::uint32_t interim_answers_ = 0;
};

} // namespace plumdale::protocol
