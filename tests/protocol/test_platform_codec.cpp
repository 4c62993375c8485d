#include "mutation.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/platform_codec.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace plumdale;
using namespace plumdale::protocol;

namespace
{

std::string configuration(std::string_view customers)
{
    return R"({"revision":9,"entries":[{"key":"switch","revision":3,"value":{"preset":"peak"}},)"
           R"({"key":"presets/peak","revision":2,"value":{"name":"peak","max_batch":12,)"
           R"("assignments":[{"model":"lists","role":"drafts","percent":25}]}},)"
           R"({"key":"customers","revision":9,"value":{"customers":[)" +
           std::string{customers} + "]}}]}";
}

std::string customer(std::string_view digest)
{
    return R"({"name":"frescura","key_sha256":")" + std::string{digest} + R"(","weight":2})";
}

std::string const digest(64, 'a');

constexpr std::string_view vm_list =
    R"({"upstreams":[{"name":"e1","kind":"engine","zone":"ruwi","model":"faq",)"
    R"("address":"127.0.0.1:9000","uptime":4,"leaving":true,"fences_orders":false}],)"
    R"("entry_vms":[{"address":"127.0.0.1:9100","leaving":false}]})";

} // namespace

TEST_CASE("configuration changes are decoded as typed events", "[platform_codec]")
{
    auto const changes = decode_configuration(configuration(customer(digest)));
    REQUIRE(changes);
    CHECK(changes.value().revision == 9);
    REQUIRE(changes.value().events.size() == 3);
    auto const& change = std::get<coordination::switch_published>(changes.value().events[0]);
    CHECK(change.revision == 3);
    CHECK(change.preset == state::id_from_name<state::preset_id>("peak"));
    auto const& preset = std::get<coordination::preset_published>(changes.value().events[1]);
    CHECK(preset.content.max_batch == 12);
    REQUIRE(preset.content.assignments.size() == 1);
    CHECK(preset.content.assignments[0].role == state::engine_role::drafts);
}

// Guards against a partly applied configuration: the service returns a value with one invalid
// customer. Applying the valid ones would put a configuration into force that was never published,
// so the whole read fails and the old configuration stays.
TEST_CASE("one invalid entry fails the whole read", "[platform_codec]")
{
    CHECK_FALSE(decode_configuration(configuration(customer("abc"))));
    CHECK_FALSE(decode_configuration(configuration(customer(digest) + ",7")));
    CHECK_FALSE(decode_configuration(R"({"revision":9})"));
}

TEST_CASE("the list of VMs identifies upstreams by their endpoint", "[platform_codec]")
{
    auto const list = decode_vm_list(vm_list);
    REQUIRE(list);
    REQUIRE(list.value().upstreams.size() == 1);
    state::upstream const& upstream = list.value().upstreams[0];
    CHECK(upstream.id == state::id_from_name<state::upstream_id>("127.0.0.1:9000"));
    CHECK(upstream.leaving);
    CHECK_FALSE(upstream.fences_orders);
    REQUIRE(list.value().entry_vms.size() == 1);
    CHECK_FALSE(decode_vm_list(R"({"upstreams":[{"address":"somewhere:1"}]})"));
}

TEST_CASE("endpoints are unchanged by a round trip, and host names are refused", "[endpoint_text]")
{
    CHECK(to_text(parse_endpoint("10.1.2.3:80").value()) == "10.1.2.3:80");
    for (std::string_view const text : {"", "a:1", "1.2.3:4", "1.2.3.4", "1.2.3.4:", "1.2.3.256:1",
                                        "1.2.3.4:65536", "1.2.3.4:5x", "1.2.3.4.5:6"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text));
    }
}

TEST_CASE("damaged configurations and lists are decoded or refused", "[platform_codec][fuzz]")
{
    std::string const valid = configuration(customer(digest));
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        CAPTURE(seed);
        auto const changes = decode_configuration(test::mutate(valid, seed));
        CHECK((changes || changes.error().kind == state::error_kind::invalid_request));
        auto const list = decode_vm_list(test::mutate(vm_list, seed));
        CHECK((list || list.error().kind == state::error_kind::invalid_request));
    }
}
