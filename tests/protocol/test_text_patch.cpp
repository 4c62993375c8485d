#include "mutation.hpp"

#include <plumdale/coordination/configuration_offer.hpp>
#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/text_patch.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::protocol;

namespace
{

constexpr std::size_t bound = max_configuration_bytes;

std::string configuration(std::uint64_t version, std::size_t routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes; ++i)
    {
        text += "{\"name\":\"" + std::to_string(state::mix(i, 3)) + "\",\"host\":\"" +
                std::to_string(state::mix(i, 5)) + ".example\",\"timeoutMs\":1500},";
    }
    return text + "{}]}";
}

} // namespace

TEST_CASE("a text is restored from its patch", "[text_patch]")
{
    for (std::size_t const routes : {std::size_t{0}, std::size_t{24}, std::size_t{11'000}})
    {
        std::string const base = configuration(7, routes);
        std::string const text = configuration(9, routes + 1);
        auto const read = apply_patch(base, make_patch(base, text), bound);
        REQUIRE(read);
        CHECK(read.value() == text);
        auto const alone = apply_patch({}, make_patch({}, text), bound);
        REQUIRE(alone);
        CHECK(alone.value() == text);
    }
}

// Guards against slow distribution: when one of 1,000 routes changes, the whole text takes a tenth
// of a second over a link of 10 Mbit/s for each of 300 VMs, the change a datagram.
TEST_CASE("a change of a large configuration fits into a datagram", "[text_patch][load]")
{
    std::string const patch = make_patch(configuration(7, 1'000), configuration(9, 1'001));
    CHECK(patch.size() < coordination::configuration_offer::max_datagram_patch);
}

TEST_CASE("a patch of another base is refused or detected by the digest", "[text_patch]")
{
    std::string const base = configuration(7, 50);
    std::string const text = configuration(9, 51);
    auto const read = apply_patch(configuration(8, 49), make_patch(base, text), bound);
    CHECK((!read || text_digest(read.value()) != text_digest(text)));
}

TEST_CASE("a text above the bound is refused before it is decompressed", "[text_patch]")
{
    std::string const text(100'000, 'x');
    CHECK_FALSE(apply_patch({}, make_patch({}, text), text.size() - 1));
    CHECK_FALSE(apply_patch({}, {}, bound));
}

TEST_CASE("damaged patches are refused or detected by the digest", "[text_patch][seeds]")
{
    std::string const base = configuration(7, 24);
    std::string const text = configuration(9, 24);
    std::string const patch = make_patch(base, text);
    for (std::uint32_t seed = 1; seed <= 2'000; ++seed)
    {
        std::string const damaged = plumdale::test::mutate(patch, seed);
        auto const read = apply_patch(base, damaged, bound);
        bool const is_detected =
            !read || read.value() == text || text_digest(read.value()) != text_digest(text);
        CHECK(is_detected);
    }
}

TEST_CASE("an offer is unchanged by a round trip, and needs the fleet key", "[text_patch]")
{
    constexpr std::string_view key = "sixteen letters!";
    coordination::configuration_offer offer;
    offer.version = 9;
    offer.base = 7;
    offer.digest = 5;
    offer.range = {state::node_id{3}, 11, 13};
    offer.has_range = true;
    offer.patch.assign(coordination::configuration_offer::max_datagram_patch, 'p');
    std::string const datagram = encode(offer, key);
    CHECK(datagram.size() < 1'400);
    auto const read = decode_configuration_offer(datagram, key);
    REQUIRE(read);
    CHECK(read.value().version == 9);
    CHECK(read.value().base == 7);
    CHECK(read.value().digest == 5);
    CHECK(read.value().range.origin == state::node_id{3});
    CHECK(read.value().range.first == 11);
    CHECK(read.value().range.last == 13);
    CHECK(read.value().has_range);
    CHECK(read.value().patch == offer.patch);
    CHECK_FALSE(decode_configuration_offer(datagram, "another sixteen!"));
    CHECK_FALSE(decode_configuration_offer(std::string_view{}, key));
}
