#include <plumdale/coordination/peer_selector.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::node_id self{1000};

state::time_point at(state::duration time)
{
    return state::time_point{} + 1h + time;
}

fleet_view fleet_of(std::uint64_t peers)
{
    fleet_view fleet{self};
    for (std::uint64_t i = 1; i <= peers; ++i)
    {
        fleet_update update;
        update.sender = state::node_id{i};
        update.incarnation_number = {1};
        update.sequence = 1;
        fleet.apply_update(update, {0x7f000001, static_cast<std::uint16_t>(i)}, 0, at(0s));
    }
    return fleet;
}

} // namespace

// Guards against one helping peer that gets all calls of the VMs that lost their paths.
TEST_CASE("calls spread evenly over all live peers", "[reach]")
{
    for (std::uint64_t const peers : {2U, 8U, 583U})
    {
        fleet_view const fleet = fleet_of(peers);
        std::minstd_rand random{7};
        peer_selector selector{fleet, random};
        std::map<std::uint64_t, std::size_t> counts;
        std::size_t const calls = 200 * peers;
        for (std::size_t i = 0; i < calls; ++i)
        {
            ++counts[selector.choose({}, {}, at(0s))->node.value];
        }
        CHECK(counts.size() == peers);
        for (auto const& [peer, count] : counts)
        {
            CHECK(count > 100);
            CHECK(count < 300);
        }
    }
}

TEST_CASE("a peer that took no call is passed over for a while", "[reach]")
{
    fleet_view const fleet = fleet_of(2);
    std::minstd_rand random{7};
    peer_selector selector{fleet, random};
    for (auto const& [why, time] :
         {std::pair{peer_refusal::unreachable, peer_selector::unreachable_time},
          std::pair{peer_refusal::declined, peer_selector::declined_time},
          std::pair{peer_refusal::at_capacity, peer_selector::at_capacity_time},
          std::pair{peer_refusal::out_of_step, peer_selector::out_of_step_time}})
    {
        selector.refused(state::node_id{1}, why, at(0s));
        bool was_chosen = false;
        for (int i = 0; i < 50; ++i)
        {
            CHECK(selector.choose({}, {}, at(time - 1ms))->node == state::node_id{2});
            was_chosen = was_chosen || selector.choose({}, {}, at(time))->node == state::node_id{1};
        }
        CHECK(was_chosen);
    }
}

TEST_CASE("neither silent peers nor those asked before are chosen", "[reach]")
{
    fleet_view const fleet = fleet_of(2);
    std::minstd_rand random{7};
    peer_selector selector{fleet, random};
    std::vector<state::node_id> const asked{state::node_id{1}};
    CHECK(selector.choose({}, asked, at(0s))->node == state::node_id{2});
    CHECK_FALSE(selector.choose({}, {}, at(fleet.silence_timeout() + 1ms)));
}

// Guards against callers that are refused for half a second as the only peer was busy once.
TEST_CASE("the only peer is asked again at once, unless it was unreachable", "[reach]")
{
    fleet_view const fleet = fleet_of(1);
    std::minstd_rand random{7};
    peer_selector selector{fleet, random};
    for (peer_refusal const why :
         {peer_refusal::declined, peer_refusal::out_of_step, peer_refusal::at_capacity})
    {
        selector.refused(state::node_id{1}, why, at(0s));
        CHECK(selector.choose({}, {}, at(0s)));
    }
    selector.refused(state::node_id{1}, peer_refusal::unreachable, at(0s));
    CHECK_FALSE(selector.choose({}, {}, at(0s)));
}

TEST_CASE("only the peers that were asked for are chosen", "[reach]")
{
    fleet_view const fleet = fleet_of(9);
    std::minstd_rand random{7};
    peer_selector selector{fleet, random};
    std::vector<state::node_id> const wanted{state::node_id{3}, state::node_id{77}};
    CHECK(selector.choose(wanted, {}, at(0s))->node == state::node_id{3});
    CHECK_FALSE(selector.choose(wanted, wanted, at(0s)));
}
