#include <plumdale/protocol/link_authenticator.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace plumdale::protocol
{
namespace
{

constexpr std::string_view hello_label = "plumdale link hello 1";
constexpr std::string_view key_label = "plumdale link key 1";

using digest = std::array<std::uint8_t, 32>;

digest hmac(std::string_view key, std::string_view bytes)
{
    digest output{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), output.data(),
         &length);
    return output;
}

std::string_view text_of(link_nonce const& nonce)
{
    return {reinterpret_cast<char const*>(nonce.data()), nonce.size()};
}

link_mac truncated(digest const& whole)
{
    link_mac mac{};
    std::copy_n(whole.begin(), mac.size(), mac.begin());
    return mac;
}

} // namespace

link_mac hello_mac(std::string_view fleet_key, std::string_view bytes)
{
    std::string labelled{hello_label};
    labelled += bytes;
    return truncated(hmac(fleet_key, labelled));
}

bool macs_equal(link_mac const& a, link_mac const& b) noexcept
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

link_authenticator::link_authenticator(std::string_view fleet_key, link_nonce const& initiator,
                                       link_nonce const& responder, direction side)
    : side_{side}
{
    std::string labelled{key_label};
    labelled += text_of(initiator);
    labelled += text_of(responder);
    key_ = hmac(fleet_key, labelled);
}

link_mac link_authenticator::next_mac(std::string_view bytes)
{
    std::string numbered(1 + sizeof(frame_number_), '\0');
    numbered[0] = static_cast<char>(side_);
    for (std::size_t i = 0; i < sizeof(frame_number_); ++i)
    {
        numbered[1 + i] = static_cast<char>(frame_number_ >> (8 * i));
    }
    ++frame_number_;
    numbered += bytes;
    return truncated(hmac({reinterpret_cast<char const*>(key_.data()), key_.size()}, numbered));
}

} // namespace plumdale::protocol
