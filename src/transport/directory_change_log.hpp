#pragma once

#include "decision_log.hpp"

#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief Log lines of changes of upstreams, several changes a line.

namespace plumdale::transport
{

/// \brief Collects what changed in the directory and writes it in few lines.
///
/// A line for each change at each entry VM says hundreds of times what one reader learnt, and in a
/// release it crowds out the lines of calls. A change is written at once where none was lately, and
/// together with those that follow it otherwise.
class directory_change_log
{
public:
    explicit directory_change_log(decision_log& log) noexcept : log_{log} {}

    void add(coordination::directory_change change, state::service_member const& member,
             std::string_view source);
    /// \brief Writes what is due; `digest` is the directory's afterwards.
    void flush(std::uint64_t digest, state::time_point now);

    /// \brief Time between two lines of one kind of change.
    static constexpr state::duration line_interval = std::chrono::seconds{2};
    /// \brief Names in a line; the others are counted.
    static constexpr std::size_t max_names = 120;

private:
    struct batch
    {
        std::string names;
        std::string source;
        std::size_t count = 0;
        std::uint64_t revision = 0;
        state::time_point written{};
    };

    void write(std::size_t kind, batch& from, std::uint64_t digest);

    static constexpr std::size_t kinds =
        static_cast<std::size_t>(coordination::directory_change::cold) + 1;

    decision_log& log_;
    std::array<batch, kinds> batches_;
};

} // namespace plumdale::transport
