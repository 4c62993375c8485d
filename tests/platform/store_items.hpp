#pragma once

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>

/// \file
/// \brief Entries as upstreams write them into the store.

namespace plumdale::test
{

inline std::string encode_base64(std::string_view bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// \brief Returns a valid entry; `started` is zero where upstreams state no start.
inline boost::json::object valid_entry(std::uint64_t started)
{
    boost::json::object entry{
        {"service", "engine"}, {"address", "10.0.0.9:80"}, {"zone", "a"},     {"version", "v1"},
        {"slots", 24},         {"state", "ready"},         {"coldLeftMs", 0}, {"sequence", 4}};
    if (started != 0)
    {
        entry["born"] = started;
    }
    return entry;
}

} // namespace plumdale::test
