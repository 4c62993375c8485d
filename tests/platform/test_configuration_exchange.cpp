#include "forward_scene.hpp"
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

constexpr std::string_view newer = R"({"version":4,"routes":[],"services":[]})";

std::string offer_of(std::string_view text, std::uint64_t digest, std::string_view key)
{
    coordination::configuration_offer offer;
    offer.version = 4;
    offer.digest = digest;
    offer.patch = protocol::make_patch({}, text);
    return protocol::encode(offer, key);
}

} // namespace

// A peer whose memory was damaged passes on another text under the same version: VMs would serve by
// different configurations of one number, and no later exchange would show it.
TEST_CASE("a configuration that isn't the published one is not taken", "[configuration_exchange]")
{
    forward_scene scene;
    transport::configuration_exchange exchange{
        scene.core,
        {[] { return std::vector<transport::offer_peer>{}; },
         [](std::string const& /*datagram*/, state::endpoint /*to*/) {},
         [](std::function<void()> const& /*otherwise*/) {
         }}};
    std::string_view const key = scene.settings.fleet_key;
    std::uint64_t const digest = protocol::text_digest(newer);
    std::string damaged{newer};
    damaged.replace(damaged.find("services"), 8, "servicez");
    std::string const wrong = offer_of(damaged, digest, key);
    exchange.take_offer(wrong, {0x7f000001, 1});
    CHECK(scene.core.version() == 3);
    std::string const right = offer_of(newer, digest, key);
    exchange.take_offer(right, {0x7f000001, 1});
    CHECK(scene.core.version() == 4);
    // The sender of the wrong one is asked, and not there.
    for (int i = 0; i < 10; ++i)
    {
        scene.context.restart();
        scene.context.run_one_for(std::chrono::milliseconds{20});
    }
}
