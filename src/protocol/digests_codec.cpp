#include "datagram_mac.hpp"
#include "packed_message.hpp"

#include <plumdale/protocol/fleet_codec.hpp>

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

// The bodies by which entry VMs compare what they know; fleet_codec.cpp has their other messages.

namespace plumdale::protocol
{
namespace
{

constexpr unsigned digest_bits = 64;
constexpr unsigned bits_per_byte = 8;
constexpr std::size_t digest_bytes = digest_bits / bits_per_byte;

// The least significant byte first, on every kind of machine.
std::string to_bytes(std::span<std::uint64_t const> digests)
{
    std::string bytes;
    for (std::uint64_t const digest : digests)
    {
        for (unsigned shift = 0; shift < digest_bits; shift += bits_per_byte)
        {
            bytes += static_cast<char>((digest >> shift) & 0xffU);
        }
    }
    return bytes;
}

std::vector<std::uint64_t> from_bytes(std::string_view bytes)
{
    std::vector<std::uint64_t> digests(bytes.size() / digest_bytes);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto const byte = static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]));
        digests[i / digest_bytes] |= byte << (bits_per_byte * (i % digest_bytes));
    }
    return digests;
}

} // namespace

std::string encode(coordination::bucket_digests const& digests)
{
    return to_bytes(digests);
}

state::result<coordination::bucket_digests> decode_bucket_digests(std::string_view body)
{
    std::size_t const count = body.size() / digest_bytes;
    bool const is_valid = body.size() % digest_bytes == 0 && std::has_single_bit(count) &&
                          count >= coordination::service_directory::min_buckets &&
                          count <= coordination::service_directory::max_buckets;
    if (!is_valid)
    {
        return malformed("digests of another length");
    }
    return from_bytes(body);
}

std::string encode(coordination::vm_digests const& digests, std::string_view fleet_key)
{
    std::string const text = to_bytes(std::array{digests.directory, digests.evacuations,
                                                 digests.quarantine, digests.configuration});
    return with_mac(text, fleet_key);
}

state::result<coordination::vm_digests> decode_vm_digests(std::string_view body,
                                                          std::string_view fleet_key)
{
    constexpr std::size_t count = 4;
    if (!has_valid_mac(body, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's digests");
    }
    std::string_view const text = body.substr(datagram_mac_bytes);
    if (text.size() != count * digest_bytes)
    {
        return malformed("digests of another length");
    }
    std::vector<std::uint64_t> const read = from_bytes(text);
    return coordination::vm_digests{read[0], read[1], read[2], read[3]};
}

} // namespace plumdale::protocol
