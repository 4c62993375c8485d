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

TEST_CASE("changes are told once, and together", "[load_news]")
{
    load_update_queue news{30'000.0};
    news.push(first);
    news.push(second);
    news.push(first);
    CHECK(news.take_due(now, peers) == std::vector<state::member_key>{first, second});
    CHECK(news.take_due(now + 1s, peers).empty());
}

// Two entry VMs choose the upstream that has just come. If the second hears of the first one's
// start a tenth of a second later, both prompts are read one after the other and the second caller
// is late.
TEST_CASE("a change is told at once while the budget lasts", "[load_news]")
{
    load_update_queue news{30'000.0};
    for (int i = 0; i < 4; ++i)
    {
        news.push(first);
        CHECK(news.take_due(now + i * 1ms, peers).size() == 1);
    }
}

// An entry VM that gets most of its zone's connections has spent its budget. What changes then is
// told in one message when the budget has grown, and nothing is forgotten.
TEST_CASE("what exceeds the budget is told together later", "[load_news]")
{
    load_update_queue news{load_update_queue::default_bytes_per_second};
    std::size_t told = 0;
    for (int i = 0; i < 50; ++i)
    {
        news.push(state::member_key{static_cast<std::uint64_t>(i)});
        told += news.take_due(now, peers).size();
    }
    CHECK(told < 5);
    CHECK(news.take_due(now + 3s, peers).size() == load_update_queue::max_rows);
    // That cost three bursts, which come back in six seconds.
    CHECK(news.take_due(now + 4s, peers).empty());
    CHECK(news.take_due(now + 12s, peers).size() == 50 - told - load_update_queue::max_rows);
}

// Load pattern: each entry VM of 9, 91 and 380 begins and ends 17 generations a second, its part of
// 26,000 requests a second with one in four a generation. Whatever the size of the fleet, an entry
// VM stays within its budget, and never falls silent.
TEST_CASE("load news stay within their bytes at any size of fleet", "[load_news][load]")
{
    constexpr int seconds = 60;
    for (std::size_t const fleet : {std::size_t{9}, std::size_t{91}, std::size_t{380}})
    {
        load_update_queue news{load_update_queue::default_bytes_per_second};
        double bytes = 0.0;
        std::size_t messages = 0;
        for (int step = 0; step < seconds * 100; ++step)
        {
            auto const count = static_cast<std::uint64_t>(step);
            news.push(state::member_key{count % 97});
            auto const told = news.take_due(now + step * 10ms, fleet - 1);
            messages += told.empty() ? 0 : 1;
            bytes += told.empty() ? 0.0 : bytes_of(told.size(), fleet - 1);
        }
        INFO("fleet " << fleet << ", " << messages << " messages");
        CHECK(bytes <= (seconds + load_update_queue::burst_seconds) *
                               load_update_queue::default_bytes_per_second +
                           bytes_of(load_update_queue::max_rows, fleet - 1));
        CHECK(messages >= 2);
    }
}
