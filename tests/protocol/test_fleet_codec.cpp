#include "mutation.hpp"

#include <plumdale/protocol/fleet_codec.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace plumdale::protocol;

namespace
{

constexpr std::string_view key = "sixteen letters!";

state::service_member member()
{
    state::service_member member;
    member.name = "i-1";
    member.service = "lists";
    member.zone = "heredia-a";
    member.address = {0x0a010203, 8'080};
    member.slots = 24;
    member.leaving = true;
    member.listed = false;
    member.revision = 77;
    member.cold_ms = 900;
    member.started = state::incarnation{1'784'177'076'285};
    member.usable = false;
    member.start_confirmed = true;
    return member;
}

fleet_update update()
{
    fleet_update update;
    update.sender = state::node_id{1};
    update.incarnation_number = state::incarnation{2};
    update.sequence = 3;
    update.configuration = 4;
    update.directory = 5;
    update.directory_version = 70'000;
    update.platform_age_ms = 6;
    update.whole = true;
    update.loads = {{state::member_key{7}, 8, 9, 10, 11}};
    update.members = {member()};
    update.evacuations = {12, {{state::zone_id{13}, 11}}};
    update.quarantine = 14;
    update.requests_evidence = true;
    update.limits = {{state::member_key{18}, 3.1, std::chrono::seconds{19}},
                     {state::member_key{20}, std::nullopt, std::chrono::seconds{21}}};
    update.evidence = {
        {state::request_digest{15}, state::member_key{16}, std::chrono::seconds{17}}};
    update.parts = {{state::prompt_part{22}, state::member_key{23}, state::request_digest{24},
                     std::chrono::seconds{25}, std::chrono::seconds{26}, true}};
    return update;
}

} // namespace

TEST_CASE("a fleet update is unchanged by a round trip", "[fleet_codec]")
{
    std::string const datagram = encode(update(), key);
    auto const read = decode_fleet_update(datagram, key);
    REQUIRE(read);
    CHECK(read.value().sequence == 3);
    CHECK(read.value().directory == 5);
    CHECK(read.value().directory_version == 70'000);
    CHECK(read.value().whole);
    CHECK(read.value().loads == update().loads);
    REQUIRE(read.value().members.size() == 1);
    CHECK(read.value().members[0].address == member().address);
    CHECK(read.value().members[0].started == member().started);
    CHECK_FALSE(read.value().members[0].usable);
    CHECK(read.value().members[0].start_confirmed);
    CHECK(read.value().members[0].leaving);
    CHECK_FALSE(read.value().members[0].listed);
    CHECK(read.value().evacuations.as_of == 12);
    CHECK(read.value().evacuations.in_force == update().evacuations.in_force);
    CHECK(read.value().quarantine == 14);
    CHECK(read.value().requests_evidence);
    REQUIRE(read.value().limits.size() == 2);
    CHECK(read.value().limits[0].member == state::member_key{18});
    CHECK(read.value().limits[0].per_second == 3.1);
    CHECK(read.value().limits[0].age == std::chrono::seconds{19});
    CHECK_FALSE(read.value().limits[1].per_second);
    REQUIRE(read.value().evidence.size() == 1);
    CHECK(read.value().evidence[0].request == state::request_digest{15});
    CHECK(read.value().evidence[0].ended == state::member_key{16});
    CHECK(read.value().evidence[0].age == std::chrono::seconds{17});
    REQUIRE(read.value().parts.size() == 1);
    CHECK(read.value().parts[0].part == state::prompt_part{22});
    CHECK(read.value().parts[0].crashed == state::member_key{23});
    CHECK(read.value().parts[0].request == state::request_digest{24});
    CHECK(read.value().parts[0].age == std::chrono::seconds{25});
    CHECK(read.value().parts[0].idle == std::chrono::seconds{26});
    CHECK(read.value().parts[0].is_trial);
}

// Each VM sends it to all others several times a second.
TEST_CASE("what directories are compared by costs a few bytes in any fleet", "[fleet_codec]")
{
    fleet_update without = update();
    without.directory_version = 0;
    fleet_update with = update();
    with.directory_version = UINT32_MAX;
    CHECK(encode(with, key).size() <= encode(without, key).size() + sizeof(std::uint32_t) + 1);
}

TEST_CASE("rows of the load parts are unchanged by a round trip", "[fleet_codec]")
{
    fleet_update sent;
    sent.speeds = {{state::member_key{1}, -330, 25, 531, 140}};
    sent.suspicions = {
        {state::member_key{2}, suspicion_kind::timed_out, std::chrono::milliseconds{40}}};
    sent.zone_reach = {{state::zone_id{3}, false, std::chrono::milliseconds{300}}};
    // Whose findings they are is known also where nothing is to be forwarded.
    sent.range.origin = state::node_id{77};
    sent.waiting = {{state::service_key{4}, 2, 17, std::chrono::milliseconds{850}}};
    auto const read = decode_fleet_update(encode(sent, key), key);
    REQUIRE(read);
    CHECK(read.value().speeds == sent.speeds);
    CHECK(read.value().range.origin == state::node_id{77});
    REQUIRE(read.value().suspicions.size() == 1);
    CHECK(read.value().suspicions[0].member == state::member_key{2});
    CHECK(read.value().suspicions[0].kind == suspicion_kind::timed_out);
    CHECK(read.value().suspicions[0].age == std::chrono::milliseconds{40});
    REQUIRE(read.value().zone_reach.size() == 1);
    CHECK(read.value().zone_reach[0].zone == state::zone_id{3});
    CHECK_FALSE(read.value().zone_reach[0].is_reached);
    CHECK(read.value().zone_reach[0].age == std::chrono::milliseconds{300});
    REQUIRE(read.value().waiting.size() == 1);
    CHECK(read.value().waiting[0].service == state::service_key{4});
    CHECK(read.value().waiting[0].rank == 2);
    CHECK(read.value().waiting[0].calls == 17);
    CHECK(read.value().waiting[0].oldest == std::chrono::milliseconds{850});
}

// A newer version may send a kind that this one doesn't know, during an upgrade.
TEST_CASE("a finding of an unknown kind is passed over", "[fleet_codec]")
{
    fleet_update sent;
    sent.suspicions = {{state::member_key{1}, static_cast<suspicion_kind>(9), {}},
                       {state::member_key{2}, suspicion_kind::refused, {}}};
    auto const read = decode_fleet_update(encode(sent, key), key);
    REQUIRE(read);
    REQUIRE(read.value().suspicions.size() == 1);
    CHECK(read.value().suspicions[0].member == state::member_key{2});
}

TEST_CASE("a fleet update of maximum size fits into a datagram", "[fleet_codec]")
{
    fleet_update full = update();
    full.directory_version = UINT32_MAX;
    full.loads.assign(fleet_update::max_loads,
                      {state::member_key{0x123456789abcdef0}, 24, 30'000, 34'000, 9'000});
    state::service_member long_named = member();
    long_named.name = "i-0123456789abcdef";
    long_named.service = "a-service-with-a-long-name";
    full.members.assign(fleet_update::max_members, long_named);
    CHECK(encode(full, key).size() < 1'400);
    full.members.clear();
    full.loads.clear();
    full.evidence.assign(fleet_update::max_evidence,
                         {state::request_digest{0x123456789abcdef0},
                          state::member_key{0x123456789abcdef0}, std::chrono::minutes{10}});
    CHECK(encode(full, key).size() < 1'400);
    full.evidence.clear();
    full.parts.assign(fleet_update::max_part_evidence,
                      {state::prompt_part{0x123456789abcdef0},
                       state::member_key{0x123456789abcdef0},
                       state::request_digest{0x123456789abcdef0}, std::chrono::minutes{10},
                       std::chrono::minutes{10}, true});
    CHECK(encode(full, key).size() < 1'400);
    full.parts.clear();
    full.speeds.assign(fleet_update::max_speeds,
                       {state::member_key{0x123456789abcdef0}, -1'400, 900, 1'400, 900});
    full.suspicions.assign(fleet_update::max_suspicions,
                           {state::member_key{0x123456789abcdef0}, suspicion_kind::timed_out,
                            std::chrono::seconds{10}});
    CHECK(encode(full, key).size() < 1'400);
    full = update();
    full.directory_version = UINT32_MAX;
    full.loads.assign(fleet_update::max_loads,
                      {state::member_key{0x123456789abcdef0}, 24, 30'000, 34'000, 9'000});
    // Evacuation orders are only sent together with load rows.
    full.members.clear();
    full.evacuations = {
        1'000'000, {evacuation_orders::capacity, {state::zone_id{0x123456789abcdef0}, 999'999}}};
    CHECK(encode(full, key).size() < 1'400);
}

TEST_CASE("a directory copy is unchanged by a round trip", "[fleet_codec]")
{
    directory_copy copy;
    copy.revision = 99;
    copy.members.assign(500, member());
    copy.evacuations = {98, {{state::zone_id{1}, 97}}};
    copy.is_rest = true;
    auto const read = decode_directory_copy(encode(copy));
    REQUIRE(read);
    CHECK(read.value().revision == 99);
    CHECK(read.value().is_rest);
    CHECK(read.value().members.size() == 500);
    CHECK(read.value().evacuations.as_of == 98);
    CHECK(read.value().evacuations.in_force.size() == 1);
}

TEST_CASE("a datagram that is damaged or made without the fleet key is refused",
          "[fleet_codec][seeds]")
{
    std::string const datagram = encode(update(), key);
    CHECK_FALSE(decode_fleet_update(datagram, "another sixteen!"));
    CHECK_FALSE(decode_fleet_update(std::string_view{}, key));
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed)
    {
        std::string const damaged = plumdale::test::mutate(datagram, seed);
        if (damaged != datagram)
        {
            CHECK_FALSE(decode_fleet_update(damaged, key));
        }
        // A directory copy has no MAC: the decoder must refuse or read it and not fail otherwise.
        static_cast<void>(decode_directory_copy(damaged));
    }
}

TEST_CASE("digests are unchanged by a round trip, and other lengths are refused", "[fleet_codec]")
{
    bucket_digests digests(128);
    for (std::size_t i = 0; i < digests.size(); ++i)
    {
        digests[i] = state::mix(i, 1);
    }
    std::string const body = encode(digests);
    auto const read = decode_bucket_digests(body);
    REQUIRE(read);
    CHECK(read.value() == digests);
    CHECK_FALSE(decode_bucket_digests({}));
    CHECK_FALSE(decode_bucket_digests(std::string_view{body}.substr(1)));
    CHECK_FALSE(decode_bucket_digests(std::string_view{body}.substr(8)));
    CHECK_FALSE(decode_bucket_digests(encode(bucket_digests(32))));
    CHECK_FALSE(decode_bucket_digests(encode(bucket_digests(8192))));
}

TEST_CASE("what a VM knows is read as it was written, on any kind of machine", "[fleet_codec]")
{
    constexpr std::string_view key = "a key of sixteen or more";
    coordination::vm_digests const written{0x0102030405060708, 0xf1f2f3f4f5f6f7f8, 3, UINT64_MAX};
    std::string const body = protocol::encode(written, key);
    REQUIRE(body.size() == 16 + 32);
    CHECK(body.substr(16, 2) == "\x08\x07");
    auto const read = protocol::decode_vm_digests(body, key);
    REQUIRE(read);
    CHECK(read.value() == written);
    CHECK_FALSE(protocol::decode_vm_digests(body + body, key));
    CHECK_FALSE(protocol::decode_vm_digests({}, key));
}

// Guards against a version that no VM follows, which would be asked for without end.
TEST_CASE("digests that were not made with the fleet's key are not taken", "[fleet_codec]")
{
    constexpr std::string_view key = "a key of sixteen or more";
    std::string const body = protocol::encode(coordination::vm_digests{1, 2, 3, 4}, key);
    CHECK_FALSE(protocol::decode_vm_digests(body, "another key, as long as it"));
    for (std::size_t byte = 0; byte < body.size(); ++byte)
    {
        std::string damaged = body;
        damaged[byte] = static_cast<char>(damaged[byte] ^ 1);
        CHECK_FALSE(protocol::decode_vm_digests(damaged, key));
    }
}
