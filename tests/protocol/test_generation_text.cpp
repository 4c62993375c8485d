#include <plumdale/protocol/generation_text.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::protocol;

TEST_CASE("identities and event ids are unchanged by a round trip", "[generation_text]")
{
    state::generation_id const id{{0xabcdU}, {42}, 7, {1, 2, 3, 0xff}};
    CHECK(parse_generation_id(to_text(id)) == id);
    auto const parsed = parse_event_id(to_text(event_id{id, {9}, 12}));
    REQUIRE(parsed);
    CHECK(parsed->generation == id);
    CHECK(parsed->upstream == state::upstream_id{9});
    CHECK(parsed->index == 12);
}

TEST_CASE("malformed identities are refused", "[generation_text]")
{
    for (char const* text : {"", "g-", "g-1-2-3", "g-1-2-3-zz", "x-1-2-3-00", "g-1--3-00",
                             "g-11111111111111111-2-3-00112233445566778899aabbccddeeff"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_generation_id(text));
        CHECK_FALSE(parse_event_id(text));
    }
}
