#include <plumdale/protocol/peer_codec.hpp>

#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>

using namespace plumdale;
using namespace plumdale::coordination;
using protocol::decode_peer_message;
using protocol::encode;

namespace
{

constexpr std::string_view key = "an example fleet key";
constexpr std::size_t mac_size = 16;

[[nodiscard]] state::member random_member(std::mt19937_64& random)
{
    return {{random() | 1U},
            {random()},
            {random()},
            static_cast<std::uint32_t>(random()),
            static_cast<state::member_health>(random() % 4),
            {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random())},
            {static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random())}};
}

[[nodiscard]] peer_message random_message(std::mt19937_64& random, bool full)
{
    peer_message message;
    message.kind = static_cast<peer_message_kind>(random() % 4);
    message.sender = random_member(random);
    message.sequence = random();
    message.target = {random()};
    message.target_address = {static_cast<std::uint32_t>(random()), 7};
    message.caught_up = random() % 2 == 0;
    message.stamp = {random(), static_cast<std::uint32_t>(random()), random(), {random()}};
    message.digests = {random(), random(), random()};
    message.members_after = {random()};
    auto const length = [&](std::size_t most)
    {
        return full ? most : random() % (most + 1);
    };
    for (std::size_t i = length(peer_message::max_members); i > 0; --i)
    {
        message.members.push_back(random_member(random));
    }
    for (std::size_t i = length(peer_message::max_marks); i > 0; --i)
    {
        message.marks.push_back({{random()}, {random()}});
    }
    for (std::size_t i = length(peer_message::max_content); i > 0; --i)
    {
        message.content.push_back({{random()}, random(), random()});
    }
    for (std::size_t i = length(peer_message::max_loads); i > 0; --i)
    {
        message.loads.push_back({{random()}, random(), 1, 2, 3, 4, 5});
    }
    return message;
}

/// \brief Puts a valid MAC in front of any words, as a faulty peer that holds the key would.
[[nodiscard]] std::string with_valid_mac(std::string datagram)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(datagram.data()) + mac_size,
         datagram.size() - mac_size, digest.data(), &length);
    std::copy_n(digest.begin(), mac_size, datagram.begin());
    return datagram;
}

} // namespace

TEST_CASE("a peer message is unchanged by a round trip and fits into one datagram", "[peer_codec]")
{
    std::mt19937_64 random{1};
    for (int i = 0; i < 500; ++i)
    {
        peer_message const message = random_message(random, i % 5 == 0);
        std::string const datagram = encode(message, key);
        CHECK(datagram.size() <= peer_message::max_bytes);
        auto const read = decode_peer_message(datagram, key);
        REQUIRE(read.has_value());
        CHECK(read.value() == message);
    }
}

// While the fleet's key is changed by a rolling restart, peers sign with either key.
TEST_CASE("a datagram that is signed by an accepted key is read", "[peer_codec]")
{
    std::mt19937_64 random{2};
    std::string const datagram = encode(random_message(random, false), "the key from before");
    std::vector<std::string> const accepted_keys{"another key", "the key from before"};
    CHECK_FALSE(decode_peer_message(datagram, key).has_value());
    CHECK(decode_peer_message(datagram, key, accepted_keys).has_value());
}

// Guards against datagrams that were changed in transit, truncated or made with another key: the
// receiver drops them unparsed, as it checks the MAC first.
TEST_CASE("a changed or truncated datagram is refused", "[peer_codec]")
{
    std::mt19937_64 random{2};
    for (int i = 0; i < 5'000; ++i)
    {
        std::string datagram = encode(random_message(random, false), key);
        std::string const before = datagram;
        if (random() % 4 == 0)
        {
            datagram.resize(random() % datagram.size());
        }
        else
        {
            datagram[random() % datagram.size()] ^= static_cast<char>(1U << (random() % 8));
        }
        CHECK_FALSE(decode_peer_message(datagram, key).has_value());
        CHECK_FALSE(decode_peer_message(before, "another fleet key").has_value());
    }
}

// Guards against a faulty peer that holds the key and sends malformed words: the parser must refuse
// or read them within bounds. The address sanitizer shows any read beyond them.
TEST_CASE("malformed words with a valid MAC are decoded or refused", "[peer_codec]")
{
    std::mt19937_64 random{3};
    std::size_t refused = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        std::string datagram = encode(random_message(random, false), key);
        for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes)
        {
            std::size_t const at = mac_size + random() % (datagram.size() - mac_size);
            datagram[at] = static_cast<char>(random());
        }
        if (random() % 8 == 0)
        {
            std::size_t const words = (datagram.size() - mac_size) / 8;
            datagram.resize(mac_size + 8 * (1 + random() % words));
        }
        auto const read = decode_peer_message(with_valid_mac(datagram), key);
        refused += read.has_value() ? 0 : 1;
        if (read.has_value())
        {
            CHECK(read.value().members.size() <= peer_message::max_members);
        }
    }
    CHECK(refused > 0);
}
