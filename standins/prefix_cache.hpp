#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The prompt prefixes that an engine keeps, least recently used first out.

namespace plumdale::standins
{

/// \brief Returns the chained FNV-1a hashes of the prompt's leading blocks of 64 bytes: each hash
/// goes on from the one before.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

struct cache_event
{
    bool stored = false;
    std::uint64_t prefix = 0;
};

/// \brief One block of memory for each prefix. Only prefill time is saved: running sequences have
/// blocks of their own.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint32_t capacity) : capacity_{capacity} {}

    /// \brief Returns how many leading blocks are held, and marks them as used.
    std::uint32_t hits(std::vector<std::uint64_t> const& prefix);
    void store(std::vector<std::uint64_t> const& prefix, std::uint32_t free_blocks);
    /// \brief Gives up to `count` blocks back; returns how many.
    std::uint32_t evict(std::uint32_t count);
    [[nodiscard]] std::uint32_t size() const noexcept;
    /// \brief Returns what happened since the last call.
    [[nodiscard]] std::vector<cache_event> take_events();

private:
    std::uint32_t capacity_;
    std::list<std::uint64_t> lru_order_; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::vector<cache_event> events_;
};

} // namespace plumdale::standins
