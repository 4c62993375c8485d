#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

/// \file
/// \brief Typed 64-bit identifiers.

namespace plumdale::state
{

/// \brief A 64-bit identifier; identifiers of different tags are distinct types.
///
/// Zero means "none". Example: `customer_id const id = id_from_name<customer_id>("frescura");`
template <class Tag>
struct identifier
{
    std::uint64_t value = 0;

    [[nodiscard]] constexpr explicit operator bool() const noexcept
    {
        return value != 0;
    }
    friend constexpr auto operator<=>(identifier const&, identifier const&) noexcept = default;
};

/// \brief One entry VM, whatever process runs on it: derived from its peer endpoint.
using node_id = identifier<struct node_tag>;
/// \brief One start of a process on an entry VM or upstream; a later start has a greater number.
using incarnation = identifier<struct incarnation_tag>;
/// \brief An availability zone, derived from its name.
using zone_id = identifier<struct zone_tag>;
/// \brief An engine or plain service, derived from its endpoint.
using upstream_id = identifier<struct upstream_tag>;
/// \brief A customer, derived from its name.
using customer_id = identifier<struct customer_tag>;
/// \brief A model or plain service, derived from its name.
using model_id = identifier<struct model_tag>;
/// \brief A preset, derived from its name.
using preset_id = identifier<struct preset_tag>;
/// \brief An operator, derived from the name.
using operator_id = identifier<struct operator_tag>;
/// \brief A key of the configuration service, derived from its text.
using content_key = identifier<struct content_tag>;
/// \brief The transport's identifier of one waiting operator or content reader.
using exchange_handle = identifier<struct exchange_tag>;
/// \brief A digest of customer and idempotency key.
using idempotency_key_id = identifier<struct key_tag>;
/// \brief Identifies a request across its attempts: a digest of host, path, customer and body.
using request_digest = identifier<struct request_tag>;
/// \brief A part of prompts that requests share, derived from the platform's identifier of it.
using prompt_part = identifier<struct prompt_part_tag>;
/// \brief The transport's identifier of one waiting caller (an HTTP exchange or a peer's relay).
using caller_handle = identifier<struct caller_tag>;
/// \brief The shard's identifier of one exchange with an upstream.
using stream_handle = identifier<struct stream_tag>;

/// \brief Returns the 64-bit FNV-1a hash of `text`, the same on every node; never zero.
[[nodiscard]] constexpr std::uint64_t
stable_hash(std::string_view text, std::uint64_t seed = 14695981039346656037ULL) noexcept
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (char const c : text)
    {
        seed = (seed ^ static_cast<unsigned char>(c)) * prime;
    }
    return seed == 0 ? 1 : seed;
}

/// \brief Returns a well-mixed hash of two numbers (the finalizer of SplitMix64), for rendezvous
/// hashing.
[[nodiscard]] constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b) noexcept
{
    std::uint64_t z = a + 0x9e3779b97f4a7c15ULL * (b + 1);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

/// \brief Returns the identifier that belongs to a name.
template <class Identifier>
[[nodiscard]] constexpr Identifier id_from_name(std::string_view name) noexcept
{
    return Identifier{stable_hash(name)};
}

} // namespace plumdale::state

template <class Tag>
struct std::hash<plumdale::state::identifier<Tag>>
{
    std::size_t operator()(plumdale::state::identifier<Tag> id) const noexcept
    {
        return static_cast<std::size_t>(plumdale::state::mix(id.value, 0));
    }
};
