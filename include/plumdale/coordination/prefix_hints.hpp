#pragma once

#include <plumdale/state/identifier.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

/// \file
/// \brief Which engine may have a prompt's prefix in its cache.

namespace plumdale::coordination
{

/// \brief A table of fixed size from prefix hash to engine; newer entries replace older ones.
///
/// An entry may be wrong: cache events come late and with gaps, and the engine may have evicted the
/// prefix. A wrong hint costs a prefill, nothing else. Example:
/// \code
/// prefix_hints hints;
/// hints.stored(request.prefix, engine);           // dispatched there, or a cache event
/// state::upstream_id const warm = hints.find(request.prefix);
/// \endcode
class prefix_hints
{
public:
    /// \brief Records that an engine has a prompt's blocks; `prefix` holds chained hashes, shortest
    /// first.
    void stored(std::span<std::uint64_t const> prefix, state::upstream_id engine) noexcept;
    /// \brief Records that an engine evicted one block.
    void evicted(std::uint64_t block, state::upstream_id engine) noexcept;
    /// \brief Returns the engine with the longest part of `prefix`, or none.
    [[nodiscard]] state::upstream_id find(std::span<std::uint64_t const> prefix) const noexcept;

private:
    struct entry
    {
        std::uint64_t block = 0;
        state::upstream_id engine;
    };

    static constexpr std::size_t entry_count = 4096;
    std::array<entry, entry_count> table_{};
};

} // namespace plumdale::coordination
