#include "shard_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::test;

TEST_CASE("a waiting request is reevaluated and then dispatched", "[waiting_requests]")
{
    shard_fixture vm;
    vm.waits = true;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::draft, false), {}});
    CHECK(vm.last_action<open_stream>() == nullptr);
    CHECK(vm.in_flight == 1);
    vm.waits = false;
    vm.advance(150ms);
    CHECK(vm.last_action<open_stream>() != nullptr);
}

TEST_CASE("a stream that ends frees capacity for a waiting request", "[waiting_requests]")
{
    shard_fixture vm;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::draft, false), {}});
    open_stream const first = *vm.last_action<open_stream>();
    vm.waits = true;
    vm.send(request_received{{2}, vm.run_request(state::work_kind::draft, false), {}});
    vm.waits = false;
    vm.send(upstream_finished{first.stream, first.generation, 0});
    REQUIRE(vm.last_action<open_stream>() != nullptr);
    CHECK(vm.last_action<open_stream>()->generation != first.generation);
}

// A request has a deadline of 300 ms and the engines are full. At 300 ms, not later, it is refused
// as not run, with a retry time; a draft whose caller disconnected while it waited is not
// dispatched either.
TEST_CASE("a waiting request ends with its deadline or its caller", "[waiting_requests]")
{
    shard_fixture vm;
    vm.waits = true;
    state::request request = vm.run_request(state::work_kind::draft, false);
    request.deadline = vm.now + 300ms;
    vm.send(request_received{{1}, request, {}});
    vm.advance(299ms);
    CHECK(vm.last_action<send_refused>() == nullptr);
    vm.advance(1ms);
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::deadline_not_run);
    CHECK(vm.last_action<send_refused>()->retry_after > 0s);

    vm.send(request_received{{2}, vm.run_request(state::work_kind::draft, false), {}});
    vm.send(caller_disconnected{{2}});
    vm.waits = false;
    vm.advance(1s);
    CHECK(vm.last_action<open_stream>() == nullptr);
    CHECK(vm.in_flight == 0);
}

// The process is paused for 20 s while a request waits. Its list of engines is then as old as the
// pause, and the engine that it would choose may have left. No request is dispatched, and no new
// run accepted, until a newer snapshot of the fleet is published.
TEST_CASE("after a pause, requests are dispatched only with a newer snapshot", "[waiting_requests]")
{
    shard_fixture vm;
    vm.waits = true;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::draft, false), {}});
    vm.waits = false;
    vm.now += 20s;
    vm.send(deadline_reached{});
    CHECK(vm.last_action<open_stream>() == nullptr);
    vm.send(request_received{{2}, vm.run_request(state::work_kind::draft, false), {}});
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::not_ready);

    vm.view.upstreams.front().accepting = false;
    vm.publish();
    vm.advance(vm.settings.pause_hold);
    REQUIRE(vm.last_action<open_stream>() != nullptr);
    CHECK(vm.last_action<open_stream>()->upstream == state::upstream_id{501});
}

// A draining VM finishes its accepted requests and refuses to run its reservations. No other
// process can run them, so the reported "not run" stays true for ever.
TEST_CASE("a draining VM refuses to run its reservations", "[waiting_requests]")
{
    shard_fixture vm;
    state::request reservation;
    reservation.op = state::operation::reserve;
    vm.send(request_received{{1}, reservation, {}});
    state::generation_id const id = vm.last_action<send_finished>()->generation;
    vm.view.draining = true;
    vm.publish();
    state::request run_request = vm.run_request(state::work_kind::draft, false);
    run_request.generation = id;
    vm.send(request_received{{2}, run_request, {}});
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::draining);
    CHECK(vm.last_action<open_stream>() == nullptr);
    CHECK(vm.in_flight == 0);
}
