#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief An engine's cache of prompt prefixes, which evicts the least recently used first.

namespace plumdale::standins
{

/// \brief Returns the chained FNV-1a hashes of the prompt's leading blocks of 64 bytes: each hash
/// continues from the previous one.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

struct cache_event
{
    bool stored = false;
    std::uint64_t prefix = 0;
};

/// \brief Holds one block of memory for each prefix. A hit saves only prefill time: running
/// sequences have blocks of their own.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint32_t capacity) : capacity_{capacity} {}

    /// \brief Returns how many leading blocks are cached, and marks them as used.
    std::uint32_t hits(std::vector<std::uint64_t> const& prefix);
    void store(std::vector<std::uint64_t> const& prefix, std::uint32_t free_blocks);
    /// \brief Evicts up to `count` blocks; returns how many.
    std::uint32_t evict(std::uint32_t count);
    [[nodiscard]] std::uint32_t size() const noexcept;
    /// \brief Returns the events since the last call.
    [[nodiscard]] std::vector<cache_event> take_events();

private:
    std::uint32_t capacity_;
    std::list<std::uint64_t> lru_order_; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::vector<cache_event> events_;
};

} // namespace plumdale::standins
