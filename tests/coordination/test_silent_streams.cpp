#include "shard_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

/// \brief Returns how long after its dispatch a request is started on another upstream.
state::duration time_to_restart(shard_fixture& vm, state::request const& request)
{
    state::time_point const sent_at = vm.now;
    vm.send(request_received{{1}, request, {}});
    open_stream const first = *vm.last_action<open_stream>();
    while (vm.now < sent_at + 10min)
    {
        vm.advance(100ms);
        open_stream const* const again = vm.last_action<open_stream>();
        if (again != nullptr && again->mode == stream_mode::start)
        {
            CHECK(again->upstream != first.upstream);
            return vm.now - sent_at;
        }
    }
    return 10min;
}

} // namespace

// A question that may be repeated goes to an engine that hangs before its first token. After one
// resumption that stays silent too, the question is restarted on another engine. Doubling the
// timeout for the hanging engine, as for a stream that has tokens, delayed the caller by 61 s.
TEST_CASE("a repeatable request on a silent engine is restarted on another", "[silent_streams]")
{
    shard_fixture vm;
    vm.settings.first_token_timeout = 2s;
    CHECK(time_to_restart(vm, vm.run_request(state::work_kind::question, true)) <= 6s);
}

// First tokens of questions arrive within 100 ms. The VM learns this, and no longer waits the
// longest time that the settings allow before it checks whether the stream is alive.
TEST_CASE("the first-token timeout is learnt", "[silent_streams]")
{
    shard_fixture vm;
    for (std::uint64_t i = 1; i <= 20; ++i)
    {
        vm.send(request_received{{100 + i}, vm.run_request(state::work_kind::question, true), {}});
        open_stream const open = *vm.last_action<open_stream>();
        vm.advance(100ms);
        vm.send(upstream_token{open.stream, open.generation, 0, "yes"});
        vm.send(upstream_finished{open.stream, open.generation, 1});
    }
    CHECK(vm.settings.first_token_timeout == 30s);
    CHECK(time_to_restart(vm, vm.run_request(state::work_kind::question, true)) <= 8s);
    CHECK(time_to_restart(vm, vm.run_request(state::work_kind::draft, true)) > 25s);
}

// A billed draft on a hanging engine can't be run elsewhere. It is resumed a few times, and then
// the caller gets `may_have_run` instead of waiting for a quarter of an hour.
TEST_CASE("a billed request on a silent engine is answered in bounded time", "[silent_streams]")
{
    shard_fixture vm;
    vm.settings.first_token_timeout = 2s;
    vm.send(request_received{{1}, vm.run_request(state::work_kind::draft, false), {}});
    vm.advance(15s);
    REQUIRE(vm.last_action<send_refused>() != nullptr);
    CHECK(vm.last_action<send_refused>()->kind == state::error_kind::may_have_run);
}
