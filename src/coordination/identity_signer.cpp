#include <plumdale/coordination/identity_signer.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace plumdale::coordination
{
namespace
{

constexpr std::size_t signed_bytes = 3 * sizeof(std::uint64_t);

void append(std::array<unsigned char, signed_bytes>& bytes, std::size_t at, std::uint64_t value)
{
    for (std::size_t i = 0; i < sizeof(value); ++i)
    {
        bytes[at + i] = static_cast<unsigned char>(value >> (8 * i));
    }
}

std::array<std::uint8_t, 16> mac_of(std::string_view key, state::generation_id const& id)
{
    std::array<unsigned char, signed_bytes> bytes{};
    append(bytes, 0, id.owner.value);
    append(bytes, 8, id.incarnation_number.value);
    append(bytes, 16, id.sequence);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes.data(), bytes.size(),
         digest.data(), &length);
    std::array<std::uint8_t, 16> mac{};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

bool mac_matches(std::string_view key, state::generation_id const& id)
{
    auto const expected = mac_of(key, id);
    return CRYPTO_memcmp(expected.data(), id.mac.data(), expected.size()) == 0;
}

} // namespace

identity_signer::identity_signer(std::string_view fleet_key,
                                 std::span<std::string const> accepted_keys)
    : fleet_key_{fleet_key}, accepted_keys_{accepted_keys.begin(), accepted_keys.end()}
{
}

state::generation_id identity_signer::mint(state::node_id owner,
                                           state::incarnation incarnation_number,
                                           std::uint64_t sequence) const
{
    state::generation_id id{owner, incarnation_number, sequence, {}};
    id.mac = mac_of(fleet_key_, id);
    return id;
}

bool identity_signer::verify(state::generation_id const& id) const
{
    return mac_matches(fleet_key_, id) ||
           std::any_of(accepted_keys_.begin(), accepted_keys_.end(),
                       [&id](std::string const& key) { return mac_matches(key, id); });
}

} // namespace plumdale::coordination
