// One zone at full size: the bandwidth that a node spends on reading the engines' load, and the age
// of the reports it holds.

#include "tests/coordination/fleet_values.hpp"

#include <plumdale/protocol/peer_codec.hpp>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

constexpr std::size_t datagram_overhead = 28;
constexpr std::uint64_t engine_count = 790;

[[nodiscard]] double seconds(state::duration time)
{
    return std::chrono::duration<double>(time).count();
}

void add_engines(fleet_loop& loop)
{
    for (std::uint64_t i = 1; i <= engine_count; ++i)
    {
        state::upstream engine;
        engine.id = {i};
        engine.zone = {1};
        engine.model = {i % 6 + 1};
        engine.incarnation_number = {1};
        loop.platform.list.upstreams.push_back(engine);
    }
}

// Request line and headers, an answer as in docs/PROTOCOLS.md, and the TCP/IP headers of an
// exchange on a persistent connection.
constexpr std::size_t load_exchange_bytes = 120 + 310 + 4 * 40;

/// \brief One zone at full size: 27 nodes, 790 engines.
void measure_load(char const* name, state::duration interval, std::uint32_t read_all,
                  std::uint32_t readers)
{
    node_settings settings;
    settings.load_interval = interval;
    settings.subset_load_interval = interval;
    settings.read_all_engines = read_all;
    settings.readers_per_engine = readers;
    fleet_loop loop{27, 1, 3, settings};
    loop.load_bytes = load_exchange_bytes;
    loop.size_of = [](peer_message const& message)
    {
        return protocol::encode(message, "an example fleet key").size() + datagram_overhead;
    };
    publish_base_configuration(loop);
    add_engines(loop);
    loop.run_for(30s);
    for (node_model& node : loop.nodes())
    {
        node.bytes = 0;
    }
    loop.run_for(20s);
    double bytes = 0;
    std::vector<double> ages;
    std::size_t fresh = 0;
    std::size_t unknown = 0;
    for (std::size_t i = 0; i < 27; ++i)
    {
        bytes += double(loop.nodes()[i].bytes);
        auto const fleet = loop.fleet(i);
        for (upstream_view const& view : fleet->upstreams)
        {
            auto const at = view.gauge->reported_at.load();
            unknown += at == 0 ? 1 : 0;
            if (at != 0)
            {
                double const age = double(loop.now().time_since_epoch().count() - at) / 1e9;
                ages.push_back(age);
                fresh += age <= seconds(interval) ? 1 : 0;
            }
        }
    }
    std::sort(ages.begin(), ages.end());
    std::printf(
        "load: %s, every %.1f s, %u readers: %.0f B/s a node with membership; age p50 %.2f "
        "s, p99 %.2f s; engines known a node %.0f of 790, %.0f of them within the interval\n",
        name, seconds(interval), readers, bytes / 27 / 20, ages[ages.size() / 2],
        ages[ages.size() * 99 / 100], 790 - double(unknown) / 27, double(fresh) / 27);
    std::fflush(stdout);
}

} // namespace

int main()
{
    for (auto const interval : {500ms, 1000ms, 2000ms, 3000ms, 4000ms})
    {
        measure_load("all read all", interval, 100'000, 1);
        measure_load("a subset each, summaries shared", interval, 64, 1);
        measure_load("a subset each, summaries shared", interval, 64, 2);
    }
}
