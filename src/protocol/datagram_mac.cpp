#include "datagram_mac.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace plumdale::protocol
{
namespace
{

using mac_bytes = std::array<char, datagram_mac_bytes>;

mac_bytes mac_of(std::string_view key, std::span<char const> text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data(), &length);
    mac_bytes mac{};
    std::memcpy(mac.data(), digest.data(), mac.size());
    return mac;
}

bool mac_matches(std::string_view key, std::span<char const> datagram)
{
    mac_bytes const mac = mac_of(key, datagram.subspan(datagram_mac_bytes));
    return CRYPTO_memcmp(mac.data(), datagram.data(), mac.size()) == 0;
}

} // namespace

std::string with_mac(std::span<char const> text, std::string_view key)
{
    mac_bytes const mac = mac_of(key, text);
    std::string datagram;
    datagram.reserve(mac.size() + text.size());
    datagram.append(mac.begin(), mac.end());
    datagram.append(text.begin(), text.end());
    return datagram;
}

bool has_valid_mac(std::span<char const> datagram, std::string_view key,
                   std::span<std::string const> accepted_keys)
{
    return datagram.size() >= datagram_mac_bytes &&
           (mac_matches(key, datagram) || std::any_of(accepted_keys.begin(), accepted_keys.end(),
                                                      [datagram](std::string const& each)
                                                      { return mac_matches(each, datagram); }));
}

} // namespace plumdale::protocol
