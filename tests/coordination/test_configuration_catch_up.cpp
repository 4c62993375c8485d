#include <plumdale/coordination/configuration_catch_up.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point start{10s};
constexpr state::duration interval = 1s;

/// \brief Returns when `next_source` first returns a source, polled every 10 ms.
state::time_point first_request_at(configuration_catch_up& catch_up, state::time_point from)
{
    state::time_point now = from;
    while (catch_up.next_source(1, now) == configuration_source::none && now < from + 20s)
    {
        now += 10ms;
    }
    return now;
}

} // namespace

// Load pattern: 300 entry VMs receive within a few milliseconds that two readers have a newer
// configuration, which is being broadcast to all of them. If each VM read the store at once, 12
// configurations in a row would cause 3,600 reads of what one reader already has.
TEST_CASE("a configuration that is being broadcast is not requested",
          "[configuration_catch_up][load]")
{
    std::minstd_rand random{7};
    for (int vm = 0; vm < 300; ++vm)
    {
        configuration_catch_up catch_up{random};
        catch_up.note_peer_version(2, 1, interval, start);
        CHECK(catch_up.next_source(1, start + interval / 2 - 20ms) == configuration_source::none);
        CHECK(catch_up.next_source(2, start + 5s) == configuration_source::none);
    }
}

TEST_CASE("VMs that missed a configuration request it at different times",
          "[configuration_catch_up]")
{
    std::minstd_rand random{7};
    std::vector<state::time_point> request_times;
    for (int vm = 0; vm < 300; ++vm)
    {
        configuration_catch_up catch_up{random};
        catch_up.note_peer_version(2, 1, interval, start);
        request_times.push_back(first_request_at(catch_up, start));
    }
    CHECK(*std::max_element(request_times.begin(), request_times.end()) <= start + interval + 10ms);
    for (state::time_point const at : request_times)
    {
        CHECK(std::count(request_times.begin(), request_times.end(), at) < 20);
    }
}

// A caller's new key is refused with 401 as long as its VM follows the older configuration. A VM
// must not wait for peers that don't deliver the newer one, as the store has it.
TEST_CASE("the store is asked when two peers did not deliver the configuration",
          "[configuration_catch_up]")
{
    std::minstd_rand random{7};
    configuration_catch_up catch_up{random};
    state::time_point now = start;
    catch_up.note_peer_version(2, 1, interval, now);
    for (std::uint32_t peer = 0; peer < configuration_catch_up::max_peer_attempts; ++peer)
    {
        now = first_request_at(catch_up, now);
        // `first_request_at` has consumed the source; its request is outstanding until it fails.
        CHECK(catch_up.next_source(1, now) == configuration_source::none);
        catch_up.failed(now);
    }
    now += configuration_catch_up::retry_delay;
    CHECK(catch_up.next_source(1, now) == configuration_source::store);
}

// Guards against a VM that keeps asking a store which turns it away, while all its peers have the
// configuration: it was late until the next one was broadcast.
TEST_CASE("peers are asked again when the store did not deliver the configuration",
          "[configuration_catch_up]")
{
    std::minstd_rand random{7};
    configuration_catch_up catch_up{random};
    state::time_point now = start;
    catch_up.note_peer_version(2, 1, interval, now);
    std::vector<configuration_source> asked;
    for (int request = 0; request < 5; ++request)
    {
        auto source = configuration_source::none;
        for (; source == configuration_source::none; now += 10ms)
        {
            source = catch_up.next_source(1, now);
        }
        asked.push_back(source);
        catch_up.failed(now);
    }
    using enum configuration_source;
    CHECK(asked == std::vector{peer, peer, store, peer, peer});
}

TEST_CASE("a request that is never answered counts as failed", "[configuration_catch_up]")
{
    std::minstd_rand random{7};
    configuration_catch_up catch_up{random};
    catch_up.note_peer_version(2, 1, interval, start);
    state::time_point now = start + interval;
    CHECK(catch_up.next_source(1, now) == configuration_source::peer);
    now += configuration_catch_up::answer_timeout;
    CHECK(catch_up.next_source(1, now) == configuration_source::peer);
    now += configuration_catch_up::answer_timeout;
    CHECK(catch_up.next_source(1, now) == configuration_source::store);
}

TEST_CASE("a later version does not postpone the request", "[configuration_catch_up]")
{
    std::minstd_rand random{7};
    configuration_catch_up catch_up{random};
    for (std::uint64_t step = 0; step < 10; ++step)
    {
        catch_up.note_peer_version(2 + step, 1, interval, start + step * 100ms);
    }
    CHECK(catch_up.next_source(1, start + interval) == configuration_source::peer);
}
