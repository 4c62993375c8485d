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
/// \brief Log lines for changes of upstreams, several changes per line.

namespace plumdale::transport
{

/// \brief Batches changes of the directory into few log lines.
///
/// With a line for each change, hundreds of entry VMs would repeat what one reader read, and in a
/// release these lines crowd out those of calls. A change is written at once if no line of its kind
/// was written lately, and otherwise together with those that follow it.
class directory_change_log
{
public:
    explicit directory_change_log(decision_log& log) noexcept : log_{log} {}

    void add(coordination::directory_change change, state::service_member const& member,
             std::string_view source);
    /// \brief Writes the lines that are due; `digest` is that of the directory after the changes.
    void flush(std::uint64_t digest, state::time_point now);

    /// \brief Time between two lines of one kind of change.
    static constexpr state::duration line_interval = std::chrono::seconds{2};
    /// \brief Most names in a line; the others are only counted.
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
        static_cast<std::size_t>(coordination::directory_change::moved) + 1;

    decision_log& log_;
    std::array<batch, kinds> batches_;
};

} // namespace plumdale::transport
