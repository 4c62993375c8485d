#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief The MAC in front of each datagram between entry VMs.

namespace plumdale::protocol
{

/// \brief Bytes of the MAC.
inline constexpr std::size_t datagram_mac_bytes = 16;

/// \brief Returns `text` with its MAC by `key` in front.
[[nodiscard]] std::string with_mac(std::span<char const> text, std::string_view key);

/// \brief Returns whether the MAC in front of `datagram` was made with `key` or one of
/// `accepted_keys`.
[[nodiscard]] bool has_valid_mac(std::span<char const> datagram, std::string_view key,
                                 std::span<std::string const> accepted_keys);

} // namespace plumdale::protocol
