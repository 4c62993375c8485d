#include <plumdale/coordination/refusal_bounds.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key brittle{77};
constexpr state::time_point start = state::time_point{} + 1h;
constexpr state::duration step = 5ms;
constexpr state::duration one_way_delay = 5ms;

/// \brief One entry VM of a fleet in which all know each other and the bound.
struct entry_vm
{
    entry_vm(std::size_t number, std::size_t vms, double bound)
        : fleet{state::node_id{number + 1}},
          statements{fleet, state::node_id{number + 1}}, bounds{statements}
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet_update update;
            update.sender = state::node_id{i + 1};
            update.incarnation_number = {1};
            update.sequence = 1;
            fleet.apply_update(update, {}, 0, start);
        }
        statements.answered(brittle, bound, start);
        statements.sweep(start);
    }

    fleet_view fleet;
    upstream_limits statements;
    refusal_bounds bounds;
};

/// \brief What happened at the upstream under a load that it can't take.
struct outcome
{
    std::size_t accepted = 0;
    /// \brief Most refusals within any second.
    std::size_t most_refused = 0;
    std::size_t senders = 0;
};

/// \brief A request, or the answer to it, on its way.
struct pending_answer
{
    state::time_point at;
    std::size_t vm = 0;
    send_outcome result = send_outcome::accepted;
};

/// \brief Has all VMs send as much as they may for ten seconds to an upstream that has room for
/// `room` requests of 30 ms.
outcome overload(std::size_t vms, double bound, std::size_t room)
{
    std::vector<std::unique_ptr<entry_vm>> fleet;
    for (std::size_t i = 0; i < vms; ++i)
    {
        fleet.push_back(std::make_unique<entry_vm>(i, vms, bound));
    }
    outcome seen;
    std::vector<bool> has_sent(vms, false);
    std::deque<state::time_point> refused;
    std::vector<pending_answer> pending;
    std::vector<state::time_point> running;
    for (state::time_point now = start; now < start + 10s; now += step)
    {
        std::erase_if(running, [now](state::time_point end) { return end <= now; });
        std::erase_if(pending,
                      [&](pending_answer const& each)
                      {
                          if (each.at > now)
                          {
                              return false;
                          }
                          fleet[each.vm]->bounds.note_settled(brittle, each.result, now);
                          return true;
                      });
        for (std::size_t i = 0; i < vms; ++i)
        {
            refusal_bounds& bounds = fleet[i]->bounds;
            while (bounds.may_send(brittle, now))
            {
                bounds.note_sent(brittle);
                has_sent[i] = true;
                bool const fits = running.size() < room;
                if (fits)
                {
                    running.push_back(now + 30ms);
                    ++seen.accepted;
                }
                else
                {
                    refused.push_back(now);
                }
                pending.push_back({now + 2 * one_way_delay + (fits ? 30ms : 0ms), i,
                                   fits ? send_outcome::accepted : send_outcome::refused});
            }
            bounds.sweep(now);
        }
        while (!refused.empty() && refused.front() + 1s <= now)
        {
            refused.pop_front();
        }
        seen.most_refused = std::max(seen.most_refused, refused.size());
    }
    seen.senders = static_cast<std::size_t>(std::count(has_sent.begin(), has_sent.end(), true));
    return seen;
}

} // namespace

// Guards against a brittle upstream that ends of the refusals of all VMs together, each of which
// kept the bound alone.
TEST_CASE("all VMs together cause no more refusals than an upstream bears", "[refusals]")
{
    for (std::size_t const vms : {1U, 6U, 9U, 60U, 295U})
    {
        for (double const bound : {1.0, 2.0, 5.0, 20.0, 100.0})
        {
            CAPTURE(vms, bound);
            outcome const seen = overload(vms, bound, 2);
            CHECK(seen.most_refused <= static_cast<std::size_t>(bound));
            CHECK(seen.senders >= 1);
            // Two places for 30 ms each take some 66 requests a second.
            CHECK(seen.accepted > 50);
        }
    }
}

// Guards against a bound that keeps requests from upstreams that have room.
TEST_CASE("an upstream with room is used in spite of its bound on refusals", "[refusals]")
{
    outcome const seen = overload(9, 20.0, 1'000);
    CHECK(seen.most_refused == 0);
    CHECK(seen.senders == 9);
    constexpr std::size_t accepted_by_nine = 1'350;
    CHECK(seen.accepted > accepted_by_nine);
}

TEST_CASE("upstreams that state no bound are not limited", "[refusals]")
{
    entry_vm vm{0, 9, 5.0};
    for (int i = 0; i < 100; ++i)
    {
        CHECK(vm.bounds.may_send(state::member_key{78}, start));
        vm.bounds.note_sent(state::member_key{78});
    }
}

// Guards against requests whose answers were lost and that count as accepted.
TEST_CASE("a request without an answer counts as refused", "[refusals]")
{
    entry_vm vm{0, 1, 2.0};
    REQUIRE(vm.bounds.share_of(brittle) == 1);
    vm.bounds.note_sent(brittle);
    vm.bounds.note_settled(brittle, send_outcome::unknown, start);
    CHECK_FALSE(vm.bounds.may_send(brittle, start + 1s));
    CHECK(vm.bounds.may_send(brittle, start + refusal_bounds::window));
}

TEST_CASE("a VM without a share knows the peers that have one", "[refusals]")
{
    constexpr std::size_t vms = 60;
    for (std::size_t i = 0; i < vms; ++i)
    {
        entry_vm vm{i, vms, 10.0};
        auto const peers = vm.bounds.peers_with_share(brittle);
        bool const is_sender = vm.bounds.share_of(brittle) > 0;
        CHECK(peers.size() == refusal_bounds::sender_count(10.0, vms) - (is_sender ? 1 : 0));
        CHECK(std::find(peers.begin(), peers.end(), state::node_id{i + 1}) == peers.end());
    }
}
