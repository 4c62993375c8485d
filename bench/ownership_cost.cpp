#include <plumdale/coordination/finished_generations.hpp>
#include <plumdale/coordination/generation_lifecycle.hpp>
#include <plumdale/coordination/identity_signer.hpp>
#include <plumdale/coordination/key_homes.hpp>
#include <plumdale/coordination/least_in_flight.hpp>
#include <plumdale/coordination/recent_keys.hpp>
#include <plumdale/coordination/request_shard.hpp>

#include <chrono>
#include <cstdio>
#include <malloc.h>

/// \file
/// \brief Time and memory of key homes, remembered keys, the generation lifecycle and streams.

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

std::size_t allocated()
{
    return mallinfo2().uordblks;
}

/// \brief Returns nanoseconds for each of `count` calls.
template <class Work>
double nanoseconds(std::size_t count, Work&& work)
{
    auto const start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i)
    {
        work(i);
    }
    std::chrono::duration<double, std::nano> const taken = std::chrono::steady_clock::now() - start;
    return taken.count() / static_cast<double>(count);
}

void report(char const* what, double value, char const* unit)
{
    std::printf("| %s | %.1f %s |\n", what, value, unit);
}

void measure_memory()
{
    constexpr std::uint32_t count = 50'000;
    std::size_t before = allocated();
    recent_keys keys{10min, count, {}};
    for (std::uint64_t i = 1; i <= count; ++i)
    {
        keys.remember({state::mix(i, 1)}, {{{1}, {1}, i, {}}, i}, state::time_point{1h});
    }
    report("a remembered key", static_cast<double>(allocated() - before) / count, "bytes");

    before = allocated();
    finished_generations finished{10min, count, 0};
    for (std::uint64_t i = 1; i <= count; ++i)
    {
        finished.remember(i, {}, state::time_point{1h});
    }
    report("an ended generation", static_cast<double>(allocated() - before) / count, "bytes");
}

void measure_key_homes()
{
    for (std::uint64_t nodes : {9U, 27U, 380U})
    {
        std::vector<state::member> members;
        for (std::uint64_t i = 2; i <= nodes; ++i)
        {
            members.push_back({{i}, {1}, {1}, 0, state::member_health::alive, {}, {}});
        }
        key_homes known{{1}, {10min, 5s, nodes}};
        known.observe(members, state::time_point{1h});
        std::uint64_t sum = 0;
        double const each = nanoseconds(100'000, [&](std::size_t i)
                                        { sum += known.home_of({state::mix(i, 7)}).value; });
        std::string const name = "home of a key among " + std::to_string(nodes) + " VMs";
        report(name.c_str(), each + (sum == 0 ? 1 : 0), "ns");
        double const seen = nanoseconds(1'000, [&](std::size_t /*i*/)
                                        { known.observe(members, state::time_point{1h}); });
        report("noting all of them", seen, "ns");
    }
}

void measure_lifecycle()
{
    generation_lifecycle machine;
    static_cast<void>(machine.apply(lifecycle_event::run));
    static_cast<void>(machine.apply(lifecycle_event::dispatch));
    bool moved = true;
    double const each = nanoseconds(10'000'000, [&](std::size_t /*i*/)
                                    { moved = machine.apply(lifecycle_event::token) && moved; });
    report("a move of the life's state machine", each + (moved ? 0 : 1), "ns");
    report("the state machine itself", static_cast<double>(sizeof(generation_lifecycle)), "bytes");
}

struct shard_fixture
{
    shard_fixture()
    {
        settings.self.id = {1};
        settings.self.incarnation_number = {1};
        settings.fleet_key = "an example fleet key";
        fleet_snapshot snapshot;
        snapshot.ready = true;
        snapshot.customers.emplace_back();
        snapshot.customers.back().id = {7};
        upstream_view view;
        view.info.id = {500};
        view.info.model = {9};
        view.gauge = std::make_shared<upstream_gauge>();
        snapshot.upstreams.push_back(view);
        fleet.publish(std::make_shared<fleet_snapshot const>(snapshot));
    }

    node_settings settings;
    identity_signer signer{"an example fleet key"};
    published<fleet_snapshot> fleet{std::make_shared<fleet_snapshot const>()};
    std::atomic<std::uint32_t> in_flight{0};
};

void measure_streams()
{
    constexpr std::size_t count = 5'000;
    constexpr std::size_t tokens = 200;
    shard_fixture fixture;
    request_shard shard{{fixture.settings, fixture.signer, fixture.fleet, fixture.in_flight},
                        0,
                        std::make_unique<least_in_flight>()};
    state::time_point now{1h};
    request_actions actions;
    std::vector<open_stream> opened;
    actions.reserve(16);
    opened.reserve(count);
    shard.handle(deadline_reached{}, now, actions);
    std::size_t const before = allocated();
    double const start =
        nanoseconds(count,
                    [&](std::size_t i)
                    {
                        state::request request;
                        request.model = {9};
                        actions.clear();
                        shard.handle(request_received{{i + 1}, request, {}}, now, actions);
                        opened.push_back(std::get<open_stream>(actions.back()));
                    });
    report("a request, from arrival to dispatch", start, "ns");
    report("a generation in flight", static_cast<double>(allocated() - before) / count, "bytes");
    double const token = nanoseconds(
        count * tokens,
        [&](std::size_t i)
        {
            open_stream const& at = opened[i % count];
            auto const index = static_cast<std::uint32_t>(i / count);
            actions.clear();
            now += 50us;
            shard.handle(upstream_token{at.stream, at.generation, index, "word"}, now, actions);
            if (shard.next_deadline() <= now)
            {
                shard.handle(deadline_reached{}, now, actions);
            }
        });
    report("a token, its timers included", token, "ns");
}

} // namespace

int main()
{
    std::printf("| what | cost |\n|---|---|\n");
    measure_memory();
    measure_key_homes();
    measure_lifecycle();
    measure_streams();
}
