#include "forward_fixture.hpp"
#include "starting_vm.hpp"
#include "transport/boot_clock.hpp"
#include "transport/directory_exchange.hpp"

#include <plumdale/protocol/fleet_codec.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto east = state::id_from_name<state::zone_id>("east");

/// \brief A VM that checks a scripted peer, from which no datagram comes any more.
struct checking_vm
{
    checking_vm() : peer{fixture.context, "peer", "a"}
    {
        state::endpoint const streams = peer.make_member("peer", 1).address;
        coordination::fleet_update update;
        update.sender = state::node_id{2};
        update.sequence = 1;
        update.directory = fixture.core.directory.digest();
        fixture.core.fleet.apply_update(update, streams, update.directory, transport::boot_now());
    }

    /// \brief Runs the loop until the peer has received `text`, and answers it.
    void answer(std::string_view text, std::string_view body)
    {
        fixture.run_until(
            [&]
            {
                exchange.advance(transport::boot_now());
                return !peer.connections_with(text).empty();
            });
        peer.connections_with(text).front()->send(ok_answer(body));
    }

    forward_fixture fixture;
    scripted_upstream peer;
    std::optional<coordination::vm_digests> checked;
    int store_reads = 0;
    transport::directory_exchange exchange{
        fixture.core,
        {[this] { ++store_reads; },
         [this](state::endpoint /*peer*/, coordination::vm_digests const& theirs)
         {
             checked = theirs;
         }}};
};

// {"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":24,"state":"ready",
//  "coldLeftMs":0,"sequence":4}
constexpr std::string_view listed_value =
    "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwi"
    "c2xvdHMiOjI0LCJzdGF0ZSI6InJlYWR5IiwiY29sZExlZnRNcyI6MCwic2VxdWVuY2UiOjR9";

std::string list_of(std::string_view name)
{
    return ok_answer(R"({"items":[{"key":"servers/)" + std::string{name} + R"(","value":")" +
                     std::string{listed_value} + R"(","revision":4}],"hasMore":false,"atRev":9})");
}

} // namespace

// Guards against orders, configurations and refusals that rest on datagrams alone.
TEST_CASE("a check of a peer shows what no datagram brought", "[directory_exchange]")
{
    checking_vm vm;
    transport::forward_core& core = vm.fixture.core;
    vm.answer("GET /fleet/digests",
              protocol::encode(coordination::vm_digests{core.directory.digest(), 77, 78, 9},
                               vm.fixture.settings.fleet_key));
    coordination::directory_copy copy;
    copy.evacuations = {6, {{east, 6}}};
    vm.answer("POST /fleet/upstreams", protocol::encode(copy));
    vm.fixture.run_until([&core] { return core.directory.evacuations().covers(east); });
    REQUIRE(vm.checked);
    CHECK(vm.checked->quarantine == 78);
    CHECK(vm.checked->configuration == 9);
    CHECK(vm.store_reads == 0);
}

// Guards against a refresh that ends with a peer that doesn't answer.
TEST_CASE("a VM that stood still reads the store if its only peer is gone", "[directory_exchange]")
{
    checking_vm vm;
    vm.peer.crash();
    vm.exchange.refresh(transport::boot_now());
    vm.fixture.run_until(
        [&vm]
        {
            vm.exchange.advance(transport::boot_now());
            return vm.store_reads != 0;
        });
    CHECK(vm.store_reads == 1);
}

// Guards against a removal that no peer remembers, and against readers that give up reading for a
// VM that reads once.
TEST_CASE("a VM that is no reader drops what the store's list lacks, and is no reader after it",
          "[store_reader]")
{
    starting_vm vm{false};
    std::string_view listed = "i-gone";
    vm.reply = [&listed](std::string_view request)
    {
        return contains(request, "prefix=op")        ? operator_entries_page({}, 9)
               : contains(request, "prefix=servers") ? list_of(listed)
                                                     : std::string{not_published};
    };
    auto const run_until_known = [&vm](std::string_view name)
    {
        for (int round = 0; round < 500 && !vm.core.directory.latest(name); ++round)
        {
            vm.run(10ms);
        }
        REQUIRE(vm.core.directory.latest(name));
    };
    run_until_known("i-gone");
    listed = "i-left";
    auto const reads = vm.core.store_reads;
    vm.reader.read_all_once();
    run_until_known("i-left");
    auto const* const gone = vm.core.directory.find(*vm.core.directory.latest("i-gone"));
    REQUIRE(gone != nullptr);
    CHECK_FALSE(gone->info.listed);
    CHECK(vm.core.store_reads == reads);
    CHECK(vm.core.unreported.empty());
}
