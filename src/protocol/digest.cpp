#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <openssl/sha.h>

#include <cstring>
#include <string>

namespace plumdale::protocol
{

state::sha256_digest sha256(std::string_view text)
{
    state::sha256_digest digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    return digest;
}

state::request_digest digest_of_request(std::string_view method, std::string_view host,
                                        std::string_view target, std::string_view customer,
                                        std::string_view body)
{
    state::sha256_digest const content = sha256(body);
    // No part can contain the separator, so two requests never give the same text.
    std::string text;
    for (std::string_view const part : {method, host, target, customer})
    {
        text.append(part).append(1, '\n');
    }
    text.append(content.begin(), content.end());
    state::sha256_digest const whole = sha256(text);
    state::request_digest digest;
    std::memcpy(&digest.value, whole.data(), sizeof(digest.value));
    return digest;
}

std::optional<state::sha256_digest> parse_digest(std::string_view hex)
{
    state::sha256_digest digest{};
    if (hex.size() != 2 * digest.size())
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i)
    {
        auto const byte = parse_hex(hex.substr(2 * i, 2));
        if (!byte)
        {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(*byte);
    }
    return digest;
}

} // namespace plumdale::protocol
