#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief One structured line for each decision, on standard output.

namespace plumdale::transport
{

/// \brief A named value of a line: a text or a number.
struct log_field
{
    log_field(std::string_view field, std::string_view text) : name{field}, value{text} {}
    log_field(std::string_view field, std::int64_t number)
        : name{field}, value{std::to_string(number)}, is_number{true}
    {
    }

    std::string_view name;
    std::string value;
    bool is_number = false;
};

/// \brief Writes lines of JSON without ever blocking on their reader.
///
/// Boost.Log's sinks block on a full pipe, so lines go into a bounded buffer that is written as far
/// as the descriptor accepts it. Lines that do not fit are dropped and counted; the count is logged
/// once the buffer is empty. `lines_per_second` bounds the rate of all parts together. Example:
/// \code
/// log.write("call", "refused", id, {{"route", name}, {"left_ms", 120}});
/// \endcode
class decision_log
{
public:
    /// \brief Makes `descriptor` non-blocking.
    decision_log(int descriptor, std::string node);

    /// \brief Adds a line with the part's prefix, the decision and the request's id, which may be
    /// empty.
    void write(std::string_view part, std::string_view decision, std::string_view id,
               std::initializer_list<log_field> fields);
    /// \brief Writes as much as the descriptor accepts without blocking.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

    /// \brief Bytes buffered for a slow reader; 64 KB hold some 300 lines.
    static constexpr std::size_t buffer_limit = 64UL * 1024;
    /// \brief Lines per second of all parts: twice the three lines of each of 68 requests at full
    /// size.
    static constexpr std::uint32_t lines_per_second = 400;

private:
    [[nodiscard]] std::size_t next_write_size() const noexcept;
    [[nodiscard]] bool within_rate(state::time_point now) noexcept;

    int descriptor_;
    std::string node_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::int64_t second_ = 0;
    std::uint32_t lines_ = 0;
};

} // namespace plumdale::transport
