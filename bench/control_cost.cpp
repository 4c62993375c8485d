// Bandwidth, processor time and memory that a node spends on the control plane, by the number of
// nodes, upstreams, customers and changes.

#include "tests/coordination/fleet_values.hpp"

#include <plumdale/protocol/peer_codec.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

struct fleet_size
{
    std::size_t nodes;
    std::size_t zones;
};

constexpr std::array<fleet_size, 4> sizes{{{9, 3}, {27, 3}, {100, 7}, {380, 14}}};
/// \brief After this time the updates of a fleet that starts all at once are no longer resent.
constexpr state::duration settling_time = 60s;

[[nodiscard]] double seconds(state::duration time)
{
    return std::chrono::duration<double>(time).count();
}

[[nodiscard]] std::size_t resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

constexpr std::size_t datagram_overhead = 28;

struct cost_case
{
    fleet_size size;
    std::size_t upstreams = 0;
    std::size_t customers = 1;
    /// \brief Switches published each second.
    double changes = 0;
};

void add_upstreams(fleet_loop& loop, std::size_t count, std::size_t zones)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        state::upstream upstream;
        upstream.id = {i + 1};
        upstream.zone = {i % zones + 1};
        upstream.model = {i % 6 + 1};
        upstream.incarnation_number = {1};
        upstream.name = "10.1.100.100:8000";
        loop.platform.list.upstreams.push_back(std::move(upstream));
    }
}

void add_customers(fleet_loop& loop, std::size_t count)
{
    std::vector<state::customer> customers(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        customers[i].name = "customer " + std::to_string(i);
        customers[i].id = {i + 1};
    }
    auto const text = std::make_shared<std::string const>(std::string(count * 120, 'c'));
    loop.publish(20, customers_published{20, std::move(customers), text});
}

void measure_cost(cost_case const& given)
{
    std::size_t const before = resident_bytes();
    fleet_loop loop{given.size.nodes, given.size.zones, 3};
    std::string const key = "an example fleet key";
    std::size_t largest = 0;
    loop.size_of = [&](peer_message const& message)
    {
        std::string const datagram = protocol::encode(message, key);
        static_cast<void>(protocol::decode_peer_message(datagram, key));
        largest = std::max(largest, datagram.size());
        return datagram.size() + datagram_overhead;
    };
    publish_base_configuration(loop);
    add_upstreams(loop, given.upstreams, given.size.zones);
    add_customers(loop, given.customers);
    loop.run_for(settling_time);
    for (node_model& node : loop.nodes())
    {
        node.bytes = 0;
        node.messages = 0;
    }
    std::size_t const handled = loop.handled;
    auto const begin = std::chrono::steady_clock::now();
    constexpr int length = 20;
    double due = 0;
    std::uint64_t revision = 100;
    for (int i = 0; i < length; ++i)
    {
        for (due += given.changes; due >= 1; due -= 1)
        {
            ++revision;
            loop.publish(
                revision,
                switch_published{revision, preset_named(revision % 2 == 0 ? "peak" : "ordinary")});
        }
        loop.run_for(1s);
    }
    double const wall = seconds(std::chrono::steady_clock::now() - begin);
    double bytes = 0;
    double worst = 0;
    double messages = 0;
    for (node_model const& node : loop.nodes())
    {
        bytes += double(node.bytes);
        messages += double(node.messages);
        worst = std::max(worst, double(node.bytes));
    }
    double const per_node = double(given.size.nodes) * length;
    std::printf("cost: %3zu nodes, %5zu upstreams, %3zu customers, %.1f changes/s: %.0f B/s "
                "(worst %.0f), %.1f messages/s, %.1f events/s, %.1f us/s of a core, %.2f MB a "
                "node, largest datagram %zu B\n",
                given.size.nodes, given.upstreams, given.customers, given.changes, bytes / per_node,
                worst / length, messages / per_node, double(loop.handled - handled) / per_node,
                wall / per_node * 1e6,
                double(resident_bytes() - before) / double(given.size.nodes) / 1e6, largest);
    std::fflush(stdout);
}

} // namespace

int main()
{
    for (fleet_size const size : sizes)
    {
        measure_cost({size, 0, 1, 0});
    }
    measure_cost({sizes[3], 0, 1, 1});
    measure_cost({sizes[1], 1'000, 1, 0});
    measure_cost({sizes[1], 11'000, 1, 0});
    measure_cost({sizes[1], 0, 660, 0});
}
