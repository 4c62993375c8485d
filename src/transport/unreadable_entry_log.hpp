#pragma once

#include "decision_log.hpp"

#include <plumdale/protocol/dialect.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// \brief Log lines about entries of the platform's list that can't be read.

namespace plumdale::transport
{

/// \brief Writes an entry that can't be read once for each of its revisions, with others in a line.
///
/// Each full read of the list has all of them again, and other writers may leave thousands.
class unreadable_entry_log
{
public:
    explicit unreadable_entry_log(decision_log& log) noexcept : log_{log} {}

    void add(protocol::unusable_entry const& entry, std::string_view source);
    /// \brief Writes the line that is due.
    void flush(state::time_point now);

    /// \brief Time between two lines.
    static constexpr state::duration line_interval = std::chrono::seconds{2};
    /// \brief Most names in a line; the others are only counted.
    static constexpr std::size_t max_names = 10;
    /// \brief Most entries that are remembered as written.
    static constexpr std::size_t max_remembered = 1'024;

private:
    decision_log& log_;
    /// \brief Revisions by name.
    std::unordered_map<std::string, std::uint64_t> written_;
    std::string names_;
    std::string_view first_reason_;
    std::string source_;
    std::size_t count_ = 0;
    std::uint64_t newest_revision_ = 0;
    state::time_point written_at_{};
};

} // namespace plumdale::transport
