#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// \file
/// \brief Child processes and waiting for conditions.

namespace plumdale::system_tests
{

/// \brief Long enough for a busy machine; a condition that is never met fails the test.
inline constexpr std::chrono::seconds default_timeout{20};

/// \brief Polls the condition until it holds; returns false after the timeout.
[[nodiscard]] bool eventually(std::function<bool()> const& condition,
                              std::chrono::milliseconds within = default_timeout);

/// \brief One program of the build, started with its standard output read by the test.
class process
{
public:
    /// \brief Starts `program` from the build's folder of programs, with at most `descriptors` open
    /// files; zero for the system's limit.
    process(std::string const& program, std::vector<std::string> const& args,
            unsigned descriptors = 0);
    process(process const&) = delete;
    process& operator=(process const&) = delete;
    /// \brief Kills the process if it still runs.
    ~process();

    /// \brief Returns what follows `word` on the first line that begins with it; throws if the
    /// output ends or `default_timeout` passes first.
    [[nodiscard]] std::string line_after(std::string const& word);
    void signal(int number) const;
    /// \brief Returns the exit code once the process has ended (128 + signal when one ended it), or
    /// no value after the timeout.
    [[nodiscard]] std::optional<int> wait(std::chrono::milliseconds within = default_timeout);
    [[nodiscard]] bool running();
    /// \brief Returns how much processor time the process has used.
    [[nodiscard]] std::chrono::milliseconds processor_time() const;

private:
    [[nodiscard]] std::string read_line();

    pid_t pid_ = -1;
    int output_ = -1;
    std::string unread_;
    std::optional<int> code_;
};

} // namespace plumdale::system_tests
