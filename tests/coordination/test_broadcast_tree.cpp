#include <plumdale/coordination/broadcast_tree.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;

namespace
{

constexpr std::size_t fleet_size = 300;

std::vector<state::node_id> fleet(std::size_t size)
{
    std::vector<state::node_id> nodes;
    for (std::uint64_t node = 1; node <= size; ++node)
    {
        nodes.push_back(state::node_id{state::mix(node, 7)});
    }
    return nodes;
}

struct broadcast_result
{
    std::map<std::uint64_t, int> received;
    std::size_t max_sent = 0;
    int steps = 0;
};

/// \brief Broadcasts a message from the first VM; VMs in `dead` forward nothing, and `lost` of
/// 1,000 datagrams are lost.
broadcast_result broadcast(std::vector<state::node_id> const& nodes, std::uint64_t message,
                           std::vector<state::node_id> const& dead, std::uint32_t lost = 0)
{
    std::minstd_rand random{static_cast<std::uint32_t>(message)};
    struct holder
    {
        broadcast_range range;
        int step = 0;
    };
    broadcast_result result;
    std::deque<holder> holders{{{nodes.front()}, 0}};
    while (!holders.empty())
    {
        holder const from = holders.front();
        holders.pop_front();
        auto const branches = branches_of(from.range, message, nodes, tree_fan_out);
        result.max_sent = std::max(result.max_sent, branches.size());
        for (broadcast_branch const& branch : branches)
        {
            if (random() % 1'000 < lost)
            {
                continue;
            }
            ++result.received[branch.receiver.value];
            result.steps = std::max(result.steps, from.step + 1);
            bool const forwards = branch.has_subrange && std::find(dead.begin(), dead.end(),
                                                                   branch.receiver) == dead.end();
            if (forwards)
            {
                holders.push_back({branch.subrange, from.step + 1});
            }
        }
    }
    return result;
}

} // namespace

// Load pattern: one reader has a configuration that 299 others lack, each on a link of 20 Mbit/s.
// If it sent to all of them, a text of 330 KB would keep its link busy for 39 s.
TEST_CASE("each VM of a fleet of 300 gets a message once, and none sends it to more than four",
          "[broadcast_tree][load]")
{
    for (std::uint64_t message = 1; message <= 20; ++message)
    {
        broadcast_result const result = broadcast(fleet(fleet_size), message, {});
        CHECK(result.received.size() == fleet_size - 1);
        CHECK(std::all_of(result.received.begin(), result.received.end(),
                          [](auto const& each) { return each.second == 1; }));
        CHECK(result.max_sent <= tree_fan_out);
        CHECK(result.steps <= 5);
    }
}

TEST_CASE("a fleet of any size is reached whole", "[broadcast_tree]")
{
    for (std::size_t size = 2; size <= 20; ++size)
    {
        CHECK(broadcast(fleet(size), 1, {}).received.size() == size - 1);
    }
}

// A VM dies with a part of the tree below it. For the next message it has another place, so that it
// isn't always the same VMs that miss messages until the repair.
TEST_CASE("places change from message to message", "[broadcast_tree]")
{
    std::vector<state::node_id> const nodes = fleet(fleet_size);
    auto const first = branches_of({nodes.front()}, 1, nodes, tree_fan_out);
    REQUIRE(first.size() == tree_fan_out);
    std::vector<state::node_id> const dead{first.front().receiver};
    std::map<std::uint64_t, int> missed;
    for (std::uint64_t message = 1; message <= 20; ++message)
    {
        auto const received = broadcast(nodes, message, dead).received;
        for (state::node_id const node : nodes)
        {
            missed[node.value] += received.contains(node.value) || node == nodes.front() ? 0 : 1;
        }
    }
    int const most =
        std::max_element(missed.begin(), missed.end(),
                         [](auto const& a, auto const& b) { return a.second < b.second; })
            ->second;
    CHECK(most <= 6);
}

TEST_CASE("no VM outside the range is sent a message", "[broadcast_tree]")
{
    CHECK(branches_of({state::node_id{1}, 5, 5}, 1, fleet(9), tree_fan_out).empty());
    CHECK(branches_of({}, 1, {}, tree_fan_out).empty());
}

// One datagram in a hundred is lost, and with it all that its receiver would have forwarded. An
// entry VM that misses a departure sends drafts to an upstream that refuses them.
TEST_CASE("two trees reach nearly all of a fleet of 300 over lossy links", "[broadcast_tree][load]")
{
    std::vector<state::node_id> const nodes = fleet(fleet_size);
    std::size_t missed = 0;
    constexpr std::uint64_t messages = 100;
    for (std::uint64_t message = 1; message <= messages; ++message)
    {
        auto const first = broadcast(nodes, 2 * message, {}, 10).received;
        auto const second = broadcast(nodes, 2 * message + 1, {}, 10).received;
        for (state::node_id const node : nodes)
        {
            bool const has_it =
                node == nodes.front() || first.contains(node.value) || second.contains(node.value);
            missed += has_it ? 0 : 1;
        }
    }
    CHECK(missed < fleet_size * messages / 100);
}
