#pragma once

#include <plumdale/state/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Patches that encode a text as its difference from another text.

namespace plumdale::protocol
{

/// \brief Returns a patch that turns `base` into `text`; with an empty base, the compressed text.
[[nodiscard]] std::string make_patch(std::string_view base, std::string_view text);

/// \brief Returns the result of applying `patch` to `base`.
///
/// Fails with `invalid_request` if the patch is damaged or the text is longer than `max_bytes`.
/// A patch that was made for another base may give a wrong text: compare `text_digest`.
[[nodiscard]] state::result<std::string> apply_patch(std::string_view base, std::string_view patch,
                                                     std::size_t max_bytes);

/// \brief Returns the first 64 bits of the text's SHA-256.
[[nodiscard]] std::uint64_t text_digest(std::string_view text);

/// \brief Maximum size in bytes of a configuration to decode; 11,000 routes are far below it.
inline constexpr std::size_t max_configuration_bytes = 8UL * 1024 * 1024;

} // namespace plumdale::protocol
