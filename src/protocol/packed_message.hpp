#pragma once

#include <plumdale/state/result.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Packed Cap'n Proto messages between forwarding entry VMs.

namespace plumdale::protocol
{

// Ten times the directory of the largest fleet, 11,000 upstreams at some 100 bytes.
inline constexpr std::uint64_t max_words = 11'000ULL * 100 * 10 / sizeof(capnp::word);

/// \brief Returns the failure of a message that can't be read.
inline state::failure malformed(char const* detail)
{
    return {state::error_kind::invalid_request, detail};
}

/// \brief Returns a message as bytes; `write_root` fills it in.
template <class Root, class Write>
std::string packed(Write const& write_root)
{
    capnp::MallocMessageBuilder builder;
    write_root(builder.initRoot<Root>());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    auto const bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

/// \brief Reads a message with `read_root`; fails with `invalid_request`.
// Cap'n Proto checks a peer's bytes only here; it reports malformed ones by an exception.
template <class Root, class Value, class Read>
state::result<Value> unpacked(std::string_view bytes, Read const& read_root)
{
    try
    {
        kj::ArrayPtr<kj::byte const> const data{reinterpret_cast<kj::byte const*>(bytes.data()),
                                                bytes.size()};
        kj::ArrayInputStream in{data};
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_words;
        capnp::PackedMessageReader reader{in, options};
        return read_root(reader.getRoot<Root>());
    }
    catch (kj::Exception const& /*malformed*/)
    {
        return malformed("malformed news of a peer");
    }
}

} // namespace plumdale::protocol
