#include "process.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace plumdale::system_tests
{
namespace
{

constexpr std::chrono::milliseconds poll_interval{10};

[[noreturn]] void execute(std::string const& path, std::vector<std::string> const& args, int output,
                          unsigned descriptors)
{
    if (descriptors != 0)
    {
        rlimit const limit{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    std::vector<char*> words;
    words.push_back(const_cast<char*>(path.c_str()));
    for (std::string const& arg : args)
    {
        words.push_back(const_cast<char*>(arg.c_str()));
    }
    words.push_back(nullptr);
    ::dup2(output, STDOUT_FILENO);
    ::execv(path.c_str(), words.data());
    ::_exit(127);
}

} // namespace

bool eventually(std::function<bool()> const& condition, std::chrono::milliseconds within)
{
    auto const until = std::chrono::steady_clock::now() + within;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

process::process(std::string const& program, std::vector<std::string> const& args,
                 unsigned descriptors)
{
    std::string const path = std::string{PLUMDALE_BINARIES} + "/" + program;
    std::array<int, 2> pipe_ends{};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
    {
        throw std::runtime_error{"cannot create a pipe"};
    }
    pid_ = ::fork();
    if (pid_ == 0)
    {
        execute(path, args, pipe_ends[1], descriptors);
    }
    ::close(pipe_ends[1]);
    output_ = pipe_ends[0];
}

process::~process()
{
    if (running())
    {
        ::kill(pid_, SIGKILL);
        static_cast<void>(wait());
    }
    ::close(output_);
}

std::string process::read_line()
{
    auto const until = std::chrono::steady_clock::now() + default_timeout;
    while (unread_.find('\n') == std::string::npos)
    {
        pollfd ready{output_, POLLIN, 0};
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        std::array<char, 256> part{};
        if (left.count() <= 0 || ::poll(&ready, 1, static_cast<int>(left.count())) <= 0)
        {
            throw std::runtime_error{"a process printed no line in time"};
        }
        ssize_t const size = ::read(output_, part.data(), part.size());
        if (size <= 0)
        {
            throw std::runtime_error{"a process ended before it printed its address"};
        }
        unread_.append(part.data(), static_cast<std::size_t>(size));
    }
    std::size_t const end = unread_.find('\n');
    std::string line = unread_.substr(0, end);
    unread_.erase(0, end + 1);
    return line;
}

std::string process::line_after(std::string const& word)
{
    while (true)
    {
        std::string const line = read_line();
        if (line.compare(0, word.size() + 1, word + " ") == 0)
        {
            return line.substr(word.size() + 1);
        }
    }
}

// After the exit code is collected, the id may belong to another process.
void process::signal(int number) const
{
    if (!code_)
    {
        ::kill(pid_, number);
    }
}

std::optional<int> process::wait(std::chrono::milliseconds within)
{
    static_cast<void>(eventually([this] { return !running(); }, within));
    return code_;
}

bool process::running()
{
    if (code_)
    {
        return false;
    }
    constexpr int signal_base = 128;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_)
    {
        code_ = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    }
    return !code_;
}

std::chrono::milliseconds process::processor_time() const
{
    // Fields 14 and 15 after the name in parentheses, in clock ticks: user and system time.
    constexpr int fields_before = 11;
    std::ifstream file{"/proc/" + std::to_string(pid_) + "/stat"};
    std::string text;
    std::getline(file, text, ')');
    for (int i = 0; i < fields_before; ++i)
    {
        file >> text;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    file >> user >> system;
    return std::chrono::milliseconds{1'000 * (user + system) /
                                     static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK))};
}

} // namespace plumdale::system_tests
