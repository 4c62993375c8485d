#pragma once

#include <plumdale/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief A text as what differs from another text.

namespace plumdale::protocol
{

/// \brief Returns what makes `text` of `base`; with an empty base the text itself, compressed.
[[nodiscard]] std::string make_patch(std::string_view base, std::string_view text);

/// \brief Returns the text that `patch` makes of `base`.
///
/// Fails with `invalid_request` where the patch is damaged or the text is longer than `max_bytes`.
/// A patch that was made for another base may give another text: compare `text_digest`.
[[nodiscard]] state::result<std::string> apply_patch(std::string_view base, std::string_view patch,
                                                     std::size_t max_bytes);

/// \brief Returns the first 64 bits of the text's SHA-256.
[[nodiscard]] std::uint64_t text_digest(std::string_view text);

/// \brief Most bytes of a configuration, as its decoder takes it: far above 11,000 routes.
inline constexpr std::size_t max_configuration_bytes = 8UL * 1024 * 1024;

} // namespace plumdale::protocol
