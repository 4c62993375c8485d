#include "forward_fixture.hpp"
#include "transport/configuration_exchange.hpp"

#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/text_patch.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view newer_configuration = R"({"version":4,"routes":[],"services":[]})";

std::string encode_offer(std::string_view text, std::uint64_t digest, std::string_view key)
{
    coordination::configuration_offer offer;
    offer.version = 4;
    offer.digest = digest;
    offer.patch = protocol::make_patch({}, text);
    return protocol::encode(offer, key);
}

} // namespace

// Guards against a peer with damaged memory that passes on another text under the same version: VMs
// would use different configurations of one version, and no later exchange would reveal it.
TEST_CASE("a configuration that isn't the published one is not taken", "[configuration_exchange]")
{
    forward_fixture fixture;
    transport::configuration_exchange exchange{
        fixture.core,
        {[] { return std::vector<transport::broadcast_peer>{}; },
         [](std::string const& /*datagram*/, state::endpoint /*to*/) {},
         [](std::function<void()> const& /*otherwise*/) {
         }}};
    std::string_view const key = fixture.settings.fleet_key;
    std::uint64_t const digest = protocol::text_digest(newer_configuration);
    std::string damaged{newer_configuration};
    damaged.replace(damaged.find("services"), 8, "servicez");
    std::string const damaged_offer = encode_offer(damaged, digest, key);
    exchange.receive_offer(damaged_offer, {0x7f000001, 1});
    CHECK(fixture.core.version() == 3);
    std::string const valid_offer = encode_offer(newer_configuration, digest, key);
    exchange.receive_offer(valid_offer, {0x7f000001, 1});
    CHECK(fixture.core.version() == 4);
    // The VM also sends a request to the damaged offer's sender, which doesn't exist.
    for (int i = 0; i < 10; ++i)
    {
        fixture.context.restart();
        fixture.context.run_one_for(std::chrono::milliseconds{20});
    }
}
