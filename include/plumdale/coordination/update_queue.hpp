#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// \brief Updates that are piggybacked a bounded number of times.

namespace plumdale::coordination
{

/// \brief Keys of updates to pass on. Each is sent a number of times that grows with the logarithm
/// of the fleet; peers that miss it are found by comparing digests.
template <class Key>
class update_queue
{
public:
    /// \brief Adds a key, or restarts its count if it is queued already.
    void push(Key key, std::size_t fleet_size)
    {
        std::erase_if(updates_, [&key](update const& each) { return each.key == key; });
        updates_.push_back({key, 2 * static_cast<std::uint32_t>(std::bit_width(fleet_size + 1))});
    }

    /// \brief Returns up to `count` keys, the least sent first, and counts them as sent.
    [[nodiscard]] std::vector<Key> take(std::size_t count)
    {
        std::stable_sort(updates_.begin(), updates_.end(),
                         [](update const& a, update const& b)
                         { return a.sends_left > b.sends_left; });
        std::vector<Key> result;
        for (update& each : updates_)
        {
            if (result.size() == count)
            {
                break;
            }
            result.push_back(each.key);
            --each.sends_left;
        }
        std::erase_if(updates_, [](update const& each) { return each.sends_left == 0; });
        return result;
    }

private:
    struct update
    {
        Key key;
        std::uint32_t sends_left = 0;
    };

    std::vector<update> updates_;
};

} // namespace plumdale::coordination
