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

/// \brief Generous, so that a busy machine passes; what never comes fails loudly.
inline constexpr std::chrono::seconds default_timeout{20};

/// \brief Asks again and again until the condition holds; false when the bound has passed.
[[nodiscard]] bool eventually(std::function<bool()> const& condition,
                              std::chrono::milliseconds within = default_timeout);

/// \brief One program of the build, started with its standard output read by the test.
class process
{
public:
    /// \brief Starts `program` from the build's folder of programs.
    process(std::string const& program, std::vector<std::string> const& args);
    process(process const&) = delete;
    process& operator=(process const&) = delete;
    /// \brief Kills what still runs.
    ~process();

    /// \brief Returns what follows `word` on the first line that begins with it; throws when the
    /// output ends or the bound passes before.
    [[nodiscard]] std::string line_after(std::string const& word);
    void signal(int number) const;
    /// \brief Returns the exit code once the process has ended (128 + signal when one ended it), or
    /// no value when the bound has passed.
    [[nodiscard]] std::optional<int> wait(std::chrono::milliseconds within = default_timeout);
    [[nodiscard]] bool running();

private:
    [[nodiscard]] std::string read_line();

    pid_t pid_ = -1;
    int output_ = -1;
    std::string unread_;
    std::optional<int> code_;
};

} // namespace plumdale::system_tests
