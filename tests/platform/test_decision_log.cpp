#include "transport/decision_log.hpp"
#include "transport/directory_change_log.hpp"
#include "transport/unreadable_entry_log.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace plumdale;
using namespace plumdale::transport;
using namespace std::chrono_literals;

namespace
{

/// \brief A pipe whose reader may be slow.
class line_pipe
{
public:
    line_pipe()
    {
        REQUIRE(::pipe(ends_.data()) == 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    line_pipe(line_pipe const&) = delete;
    line_pipe& operator=(line_pipe const&) = delete;
    ~line_pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    [[nodiscard]] int writer() const noexcept
    {
        return ends_[1];
    }

    std::string read(std::size_t max_bytes = 1UL << 20U)
    {
        std::string text(max_bytes, '\0');
        ssize_t const bytes = ::read(ends_[0], text.data(), text.size());
        text.resize(bytes > 0 ? static_cast<std::size_t>(bytes) : 0);
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

std::size_t line_count(std::string const& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

state::service_member upstream(std::uint64_t number)
{
    state::service_member member;
    member.name = "i-" + std::to_string(number);
    member.revision = number;
    return member;
}

} // namespace

// Guards against half a line in the log of a VM that loses power while its pipe is full: the first
// line of the restarted process would be appended to it.
TEST_CASE("lines are written whole or not at all, however full the pipe is", "[decision_log]")
{
    line_pipe pipe;
    decision_log log{pipe.writer(), "vm"};
    std::string read;
    for (int round = 0; round < 400; ++round)
    {
        log.write("call", "refused", "id", {{"why", std::string(500, 'x')}});
        log.flush();
        if (round % 7 == 0)
        {
            // The reader is slow, so the pipe fills up.
            read += pipe.read(700);
        }
    }
    // The bytes that are left in the pipe when the process has ended.
    read += pipe.read();
    REQUIRE(line_count(read) > 10);
    CHECK(read.back() == '\n');
}

// Load pattern: a release changes 120 upstreams within four seconds at each of 300 VMs. With a line
// for each change, every VM repeats what one reader learnt, and lines of calls are dropped.
TEST_CASE("changes of upstreams are told together", "[directory_change_log][load]")
{
    line_pipe pipe;
    decision_log log{pipe.writer(), "vm"};
    directory_change_log changes{log};
    state::time_point now{10s};
    std::string read;
    for (std::uint64_t change = 0; change < 120; ++change)
    {
        changes.add(coordination::directory_change::leaving, upstream(change), "fleet");
        changes.flush(change, now);
        log.flush();
        read += pipe.read();
        now += 33ms;
    }
    changes.flush(120, now + 1s);
    log.flush();
    read += pipe.read();
    CHECK(line_count(read) <= 10);
    for (std::uint64_t change = 0; change < 120; ++change)
    {
        INFO("change " << change);
        bool const is_named = read.find("i-" + std::to_string(change) + " ") != std::string::npos ||
                              read.find("i-" + std::to_string(change) + "\"") != std::string::npos;
        CHECK(is_named);
    }
}

TEST_CASE("a single change is logged at once", "[directory_change_log]")
{
    line_pipe pipe;
    decision_log log{pipe.writer(), "vm"};
    directory_change_log changes{log};
    changes.add(coordination::directory_change::removed, upstream(7), "store");
    changes.flush(1, state::time_point{10s});
    log.flush();
    std::string const read = pipe.read();
    CHECK(read.find("\"upstream removed\"") != std::string::npos);
    CHECK(read.find("\"i-7\"") != std::string::npos);
    CHECK(read.find("\"revision\":7") != std::string::npos);
}

// A list of 11,000 upstreams doesn't fit into a line: names that don't fit are counted.
TEST_CASE("the size of a line is bounded", "[directory_change_log]")
{
    line_pipe pipe;
    decision_log log{pipe.writer(), "vm"};
    directory_change_log changes{log};
    for (std::uint64_t change = 0; change < 11'000; ++change)
    {
        changes.add(coordination::directory_change::listed, upstream(change), "store");
    }
    changes.flush(1, state::time_point{10s});
    log.flush();
    std::string const read = pipe.read();
    CHECK(read.size() < 4'096);
    CHECK(read.find("\"count\":11000") != std::string::npos);
}

// Load pattern: another writer left 500 entries, and each VM that reads the list reads them again
// and again. With a line for each, lines of calls are dropped.
TEST_CASE("entries that can't be read are told once a revision, together",
          "[decision_log][odd_entry]")
{
    line_pipe pipe;
    decision_log log{pipe.writer(), "vm"};
    unreadable_entry_log entries{log};
    std::string read;
    for (int round = 0; round < 20; ++round)
    {
        for (int i = 0; i < 500; ++i)
        {
            std::uint64_t const revision = round < 10 || i != 7 ? 40 : 41;
            entries.add({"odd-" + std::to_string(i), revision, "slots"}, "store");
        }
        entries.flush(state::time_point{round * 3s});
        log.flush();
        read += pipe.read();
    }
    CHECK(line_count(read) == 2);
    CHECK(read.size() < 1'024);
    CHECK(read.find("\"count\":500") != std::string::npos);
    CHECK(read.find("\"upstream\":\"odd-7\"") != std::string::npos);
}
