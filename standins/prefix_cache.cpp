#include "prefix_cache.hpp"

#include <plumdale/state/identifier.hpp>

#include <utility>

namespace plumdale::standins
{

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    constexpr std::size_t block_bytes = 64;
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = state::stable_hash("");
    while (prompt.size() >= block_bytes)
    {
        hash = state::stable_hash(prompt.substr(0, block_bytes), hash);
        hashes.push_back(hash);
        prompt.remove_prefix(block_bytes);
    }
    return hashes;
}

std::uint32_t prefix_cache::hits(std::vector<std::uint64_t> const& prefix)
{
    std::uint32_t count = 0;
    for (std::uint64_t const hash : prefix)
    {
        auto const found = positions_.find(hash);
        if (found == positions_.end())
        {
            break;
        }
        lru_order_.splice(lru_order_.end(), lru_order_, found->second);
        ++count;
    }
    return count;
}

void prefix_cache::store(std::vector<std::uint64_t> const& prefix, std::uint32_t free_blocks)
{
    for (std::uint64_t const hash : prefix)
    {
        if (positions_.count(hash) != 0)
        {
            continue;
        }
        if (size() >= capacity_ || free_blocks == 0)
        {
            if (evict(1) == 0)
            {
                return;
            }
            ++free_blocks;
        }
        --free_blocks;
        positions_[hash] = lru_order_.insert(lru_order_.end(), hash);
        events_.push_back({true, hash});
    }
}

std::uint32_t prefix_cache::evict(std::uint32_t count)
{
    std::uint32_t evicted = 0;
    while (evicted < count && !lru_order_.empty())
    {
        events_.push_back({false, lru_order_.front()});
        positions_.erase(lru_order_.front());
        lru_order_.pop_front();
        ++evicted;
    }
    return evicted;
}

std::uint32_t prefix_cache::size() const noexcept
{
    return static_cast<std::uint32_t>(lru_order_.size());
}

std::vector<cache_event> prefix_cache::take_events()
{
    return std::exchange(events_, {});
}

} // namespace plumdale::standins
