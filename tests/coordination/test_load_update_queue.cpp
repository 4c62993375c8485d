#include <plumdale/coordination/load_update_queue.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key first{7};
constexpr state::member_key second{8};
constexpr state::time_point now{10s};
constexpr std::size_t peers = 90;

double bytes_of(std::size_t rows, std::size_t peer_count)
{
    return static_cast<double>(peer_count) *
           (load_update_queue::datagram_overhead_bytes +
            load_update_queue::row_bytes * static_cast<double>(rows));
}

} // namespace

TEST_CASE("changes are sent once, and together", "[load_update_queue]")
{
    load_update_queue queue{30'000.0};
    queue.push(first);
    queue.push(second);
    queue.push(first);
    CHECK(queue.take_due(now, peers) == std::vector<state::member_key>{first, second});
    CHECK(queue.take_due(now + 1s, peers).empty());
}

// Guards against two entry VMs that choose the same new upstream: if the second learns of the first
// one's call a tenth of a second later, the upstream processes both prompts one after the other and
// the second answer is late.
TEST_CASE("a change is sent at once while the budget lasts", "[load_update_queue]")
{
    load_update_queue queue{30'000.0};
    for (int i = 0; i < 4; ++i)
    {
        queue.push(first);
        CHECK(queue.take_due(now + i * 1ms, peers).size() == 1);
    }
}

// Guards against losing changes of an entry VM that gets most of its zone's connections and has
// spent its budget: they are sent in batches once the budget has been refilled.
TEST_CASE("changes beyond the budget are sent together later", "[load_update_queue]")
{
    load_update_queue queue{load_update_queue::default_bytes_per_second};
    std::size_t sent = 0;
    for (int i = 0; i < 50; ++i)
    {
        queue.push(state::member_key{static_cast<std::uint64_t>(i)});
        sent += queue.take_due(now, peers).size();
    }
    CHECK(sent < 5);
    CHECK(queue.take_due(now + 3s, peers).size() == load_update_queue::max_rows);
    // That cost three bursts, which take six seconds to refill.
    CHECK(queue.take_due(now + 4s, peers).empty());
    CHECK(queue.take_due(now + 12s, peers).size() == 50 - sent - load_update_queue::max_rows);
}

// Load pattern: each entry VM of 9, 91 and 380 starts and ends 17 generations per second, its part
// of 26,000 requests per second of which one in four is a generation. At any fleet size an entry VM
// stays within its budget and keeps sending.
TEST_CASE("load updates stay within their byte budget at any fleet size",
          "[load_update_queue][load]")
{
    constexpr int seconds = 60;
    for (std::size_t const fleet : {std::size_t{9}, std::size_t{91}, std::size_t{380}})
    {
        load_update_queue queue{load_update_queue::default_bytes_per_second};
        double bytes = 0.0;
        std::size_t messages = 0;
        for (int step = 0; step < seconds * 100; ++step)
        {
            auto const count = static_cast<std::uint64_t>(step);
            queue.push(state::member_key{count % 97});
            auto const sent = queue.take_due(now + step * 10ms, fleet - 1);
            messages += sent.empty() ? 0 : 1;
            bytes += sent.empty() ? 0.0 : bytes_of(sent.size(), fleet - 1);
        }
        INFO("fleet " << fleet << ", " << messages << " messages");
        CHECK(bytes <= (seconds + load_update_queue::burst_seconds) *
                               load_update_queue::default_bytes_per_second +
                           bytes_of(load_update_queue::max_rows, fleet - 1));
        CHECK(messages >= 2);
    }
}
