#include <plumdale/protocol/link_authenticator.hpp>
#include <plumdale/protocol/link_codec.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace plumdale;
using protocol::decode_frame;
using protocol::encode_frame;
using protocol::link_frame;

namespace
{

constexpr state::time_point start{std::chrono::seconds{100}};

state::generation_id sample_id()
{
    return {{7}, {8}, 9, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}};
}

state::request sample_request()
{
    state::request request;
    request.op = state::operation::attach;
    request.kind = state::work_kind::draft;
    request.repeatable = true;
    request.streamed = false;
    request.api_key[31] = 5;
    request.customer = {3};
    request.model = {4};
    request.generation = sample_id();
    request.upstream_hint = {11};
    request.next_index = 12;
    request.key = {13};
    request.attempt = 2;
    request.prompt_tokens = 14;
    request.max_tokens = 15;
    request.prefix = {16, 17};
    request.deadline = start + std::chrono::seconds{5};
    request.body = std::make_shared<std::string const>("milk\0and\nbread", 14);
    request.path = "/orders";
    return request;
}

std::vector<link_frame> sample_frames()
{
    state::content_ref const ref{{1}, 2, 3};
    return {{0, protocol::link_hello{{4}, {9}}},
            {0, protocol::link_heartbeat{}},
            {1, sample_request()},
            {2, coordination::relay_head{{2}, sample_id(), {5}}},
            {3, coordination::relay_token{{3}, sample_id(), {5}, 6, "tok\xC3\xA9n"}},
            {4, coordination::relay_finished{{4}, sample_id(), 7, "whole"}},
            {5,
             coordination::relay_refused{
                 {5}, state::error_kind::overloaded, std::chrono::seconds{2}, {}, 0}},
            {6, protocol::caller_event::disconnected},
            {7, protocol::caller_event::blocked},
            {8, ref},
            {9, protocol::link_content{ref, "presets/peak", std::make_shared<std::string>("{}")}},
            {9, protocol::link_content{ref, "presets/peak", nullptr}}};
}

} // namespace

TEST_CASE("a request is unchanged by a round trip over a link")
{
    auto const later = start + std::chrono::seconds{50};
    auto const frame = decode_frame(encode_frame({1, sample_request()}, start), later);
    REQUIRE(frame);
    auto const& got = std::get<state::request>(frame.value().body);
    auto const sent = sample_request();
    CHECK(frame.value().exchange == 1);
    CHECK(got.op == sent.op);
    CHECK(got.kind == sent.kind);
    CHECK(got.repeatable == sent.repeatable);
    CHECK(got.streamed == sent.streamed);
    CHECK(got.api_key == sent.api_key);
    CHECK(got.customer == sent.customer);
    CHECK(got.model == sent.model);
    CHECK(got.generation == sent.generation);
    CHECK(got.upstream_hint == sent.upstream_hint);
    CHECK(got.next_index == sent.next_index);
    CHECK(got.key == sent.key);
    CHECK(got.attempt == sent.attempt);
    CHECK(got.prompt_tokens == sent.prompt_tokens);
    CHECK(got.max_tokens == sent.max_tokens);
    CHECK(got.prefix == sent.prefix);
    CHECK(*got.body == *sent.body);
    CHECK(got.path == sent.path);
    // The clocks of two VMs are unrelated: the frame contains the time that is left.
    CHECK(got.deadline == later + std::chrono::seconds{5});
}

TEST_CASE("each kind of frame is the same after a round trip")
{
    for (link_frame const& frame : sample_frames())
    {
        std::string const bytes = encode_frame(frame, start);
        auto const decoded = decode_frame(bytes, start);
        REQUIRE(decoded);
        CHECK(decoded.value().exchange == frame.exchange);
        CHECK(decoded.value().body.index() == frame.body.index());
        CHECK(encode_frame(decoded.value(), start) == bytes);
    }
}

// Guards against frames that are truncated or corrupted although their MAC is valid, because of a
// fault of the product or a peer of another version. Each is refused as malformed or decoded as
// some well-formed frame, without reads out of bounds.
TEST_CASE("truncated and corrupted frames are decoded or refused")
{
    std::minstd_rand random{20261202};
    std::size_t malformed = 0;
    for (link_frame const& frame : sample_frames())
    {
        std::string const bytes = encode_frame(frame, start);
        for (std::size_t length = 0; length < bytes.size(); ++length)
        {
            malformed += decode_frame({bytes.data(), length}, start) ? 0 : 1;
        }
        for (int round = 0; round < 2000; ++round)
        {
            std::string mutated = bytes;
            for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
            {
                mutated[random() % mutated.size()] ^= static_cast<char>(1U << (random() % 8));
            }
            auto const decoded = decode_frame(mutated, start);
            malformed += decoded ? 0 : 1;
            if (!decoded)
            {
                CHECK(decoded.error().kind == state::error_kind::invalid_request);
            }
        }
    }
    CHECK(malformed > 1000);
}

TEST_CASE("a MAC is valid for one frame at one position of one link in one direction")
{
    using protocol::link_authenticator;
    using direction = link_authenticator::direction;
    protocol::link_nonce const a{1};
    protocol::link_nonce const b{2};
    link_authenticator sender{"0123456789abcdef", a, b, direction::from_initiator};
    auto const first = sender.next_mac("frame");
    auto const second = sender.next_mac("frame");
    CHECK_FALSE(protocol::macs_equal(first, second));
    link_authenticator same{"0123456789abcdef", a, b, direction::from_initiator};
    CHECK(protocol::macs_equal(first, same.next_mac("frame")));
    CHECK_FALSE(protocol::macs_equal(second, same.next_mac("other")));
    link_authenticator other_direction{"0123456789abcdef", a, b, direction::from_responder};
    CHECK_FALSE(protocol::macs_equal(first, other_direction.next_mac("frame")));
    link_authenticator other_link{"0123456789abcdef", a, {3}, direction::from_initiator};
    CHECK_FALSE(protocol::macs_equal(first, other_link.next_mac("frame")));
    link_authenticator other_key{"0123456789abcdeg", a, b, direction::from_initiator};
    CHECK_FALSE(protocol::macs_equal(first, other_key.next_mac("frame")));
}
