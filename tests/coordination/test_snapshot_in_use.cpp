#include "shard_fixture.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace plumdale;
using namespace plumdale::test;

// The control plane publishes a new snapshot while a request is handled. If a shard loaded the
// newest snapshot twice in one event, the second load would free the first while a member of it is
// in use: the relay would go to an address read from freed memory. (Detected by the address
// sanitizer.)
TEST_CASE("a snapshot stays in use until its event is handled", "[snapshot_in_use]")
{
    shard_fixture vm;
    vm.view.members.push_back({{2}, {1}, {5}, 0, state::member_health::alive, {}, {}});
    state::generation_id const id = vm.signer.mint({2}, {5}, 1);
    vm.publish();
    std::atomic<bool> done{false};
    fleet_snapshot const next = vm.view;
    std::thread publisher{[&]
                          {
                              while (!done)
                              {
                                  vm.fleet.publish(std::make_shared<fleet_snapshot const>(next));
                              }
                          }};
    state::request request = vm.run_request(state::work_kind::draft, false);
    request.generation = id;
    std::size_t relayed = 0;
    for (std::uint64_t i = 1; i <= 5'000; ++i)
    {
        vm.send(request_received{{i}, request, {}});
        relay_request const* const relay = vm.last_action<relay_request>();
        relayed += relay != nullptr && relay->node == state::node_id{2} ? 1 : 0;
    }
    done = true;
    publisher.join();
    CHECK(relayed == 5'000);
}
