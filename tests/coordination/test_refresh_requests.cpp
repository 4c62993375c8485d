#include <plumdale/coordination/refresh_requests.hpp>
#include <plumdale/coordination/store_fallback.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point now{100s};

state::endpoint peer(std::uint32_t number)
{
    return {number, 7200};
}

struct begun_requests
{
    begun_requests()
    {
        requests.begin(0, now);
    }

    std::minstd_rand random{1};
    refresh_requests requests{random};
};

} // namespace

TEST_CASE("another peer is asked in place of one that fails, until two have answered",
          "[refresh_requests]")
{
    begun_requests begun;
    refresh_requests& requests = begun.requests;
    for (std::uint32_t number = 1; number <= 2; ++number)
    {
        REQUIRE(requests.is_due(now));
        requests.requested(peer(number));
    }
    CHECK_FALSE(requests.is_due(now));
    requests.answered(false);
    REQUIRE(requests.is_due(now));
    requests.requested(peer(3));
    CHECK(requests.asked().size() == 3);
    requests.answered(true);
    requests.answered(true);
    CHECK_FALSE(requests.is_due(now));
    CHECK_FALSE(requests.take_store_turn(now + refresh_requests::peers_time));
}

// Guards against an answer of before the pause that stands for one of after it.
TEST_CASE("an answer to a request of before a pause doesn't count", "[refresh_requests]")
{
    begun_requests begun;
    refresh_requests& requests = begun.requests;
    requests.requested(peer(1));
    state::time_point const resumed = now + 5s;
    requests.begin(0, resumed);
    requests.answered(true);
    CHECK(requests.take_store_turn(resumed + refresh_requests::peers_time));
    requests.requested(peer(1));
    requests.requested(peer(2));
    CHECK_FALSE(requests.is_due(resumed));
}

TEST_CASE("the store is read once if no peer answers", "[refresh_requests]")
{
    begun_requests begun;
    refresh_requests& requests = begun.requests;
    requests.requested(peer(1));
    requests.answered(false);
    CHECK_FALSE(requests.take_store_turn(now + refresh_requests::peers_time - 1ms));
    CHECK(requests.take_store_turn(now + refresh_requests::peers_time));
    CHECK_FALSE(requests.take_store_turn(now + refresh_requests::peers_time));
}

// Guards against hundreds of VMs that read the whole list again and again.
TEST_CASE("reads of the store that don't help become rarer, and in a large fleet are rare",
          "[store_fallback]")
{
    std::minstd_rand random{1};
    std::size_t const peers = GENERATE(5, 583);
    store_fallback fallback{random};
    std::size_t reads = 0;
    for (state::time_point at = now; at < now + 10min; at += 50ms)
    {
        fallback.observe(true, at);
        reads += fallback.take_due(peers, at) ? 1 : 0;
    }
    CHECK(reads >= 1);
    CHECK(reads <= (peers == 5 ? 12U : 5U));
}

TEST_CASE("the store is not read while peers' answers bring something", "[store_fallback]")
{
    std::minstd_rand random{1};
    store_fallback fallback{random};
    for (state::time_point at = now; at < now + 10s; at += 500ms)
    {
        fallback.observe(true, at);
        fallback.progressed(at);
        CHECK_FALSE(fallback.take_due(5, at));
    }
    fallback.observe(false, now + 10s);
    CHECK_FALSE(fallback.take_due(5, now + 20s));
}
