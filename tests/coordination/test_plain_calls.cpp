#include "shard_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::test;

// A call that charges an account is sent to its service and the connection breaks before the
// answer. The service can't be asked again and may have charged: the caller gets `may_have_run`,
// and the call is not sent to another service.
TEST_CASE("a call that may not be repeated is not sent again", "[plain_calls]")
{
    shard_fixture vm;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::call, false), {}});
    REQUIRE(vm.last_action<open_stream>() != nullptr);
    vm.send(upstream_failed{vm.last_action<open_stream>()->stream, upstream_failure::broken});
    CHECK(vm.last_action<open_stream>() == nullptr);
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::may_have_run);
    CHECK(vm.in_flight == 0);
}

TEST_CASE("a call that provably did not run, or may be repeated, is sent to another service",
          "[plain_calls]")
{
    for (auto const& [cause, repeatable] :
         {std::pair{upstream_failure::not_connected, false},
          std::pair{upstream_failure::refused, false}, std::pair{upstream_failure::broken, true}})
    {
        shard_fixture vm;
        vm.send(request_received{{1}, vm.run_request(state::work_kind::call, repeatable), {}});
        open_stream const first = *vm.last_action<open_stream>();
        vm.send(upstream_failed{first.stream, cause});
        REQUIRE(vm.last_action<open_stream>() != nullptr);
        CHECK(vm.last_action<open_stream>()->mode == stream_mode::start);
        CHECK(vm.last_action<open_stream>()->upstream != first.upstream);
    }
}

// The caller's connection is lost while its charged call runs; the repeat has the same key. A
// service can't be read again, so the owner keeps the answer, status included, and returns it.
TEST_CASE("a repeated key gets the answer of the first call", "[plain_calls]")
{
    shard_fixture vm;
    state::request request = vm.run_request(state::work_kind::call, false);
    request.streamed = false;
    request.key = {42};
    request.attempt = 1;
    vm.send(request_received{{1}, request, {}});
    open_stream const call = *vm.last_action<open_stream>();
    vm.send(caller_disconnected{{1}});
    vm.send(upstream_token{call.stream, call.generation, 0, "charged"});
    vm.send(upstream_finished{call.stream, call.generation, 1, 201});
    CHECK(vm.in_flight == 0);

    request.attempt = 2;
    vm.send(request_received{{2}, request, {}});
    CHECK(vm.last_action<open_stream>() == nullptr);
    REQUIRE(vm.last_action<send_finished>() != nullptr);
    CHECK(vm.last_action<send_finished>()->text == "charged");
    CHECK(vm.last_action<send_finished>()->status == 201);

    request.body = std::make_shared<std::string const>("another body");
    vm.send(request_received{{3}, request, {}});
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::key_in_use);
}

// A service accepts the call and then stays silent. The caller is refused after the first-token
// timeout instead of waiting until its own timeout.
TEST_CASE("a call to a silent service ends after a timeout", "[plain_calls]")
{
    shard_fixture vm;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::call, false), {}});
    vm.advance(vm.settings.first_token_timeout + 1s);
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::may_have_run);
}
