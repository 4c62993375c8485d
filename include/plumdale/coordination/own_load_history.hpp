#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <atomic>
#include <cstdint>

/// \file
/// \brief Load that this entry VM had on an upstream up to a few seconds ago.

namespace plumdale::coordination
{

/// \brief Own tokens and streams on one upstream at one moment.
struct own_load_sample
{
    std::uint32_t tokens = 0;
    std::uint32_t streams = 0;
};

/// \brief Keeps about four seconds of own load, to compare with a report that is up to that old.
///
/// Any shard may write and read; each slot is one atomic word.
class own_load_history
{
public:
    /// \brief Time that one slot covers.
    static constexpr state::duration slot_duration = std::chrono::milliseconds{125};
    static constexpr std::size_t slots = 32;

    /// \brief Records the load that is held from now on.
    void note(state::time_point now, own_load_sample held) noexcept
    {
        std::uint64_t const slot_number = slot_number_of(now);
        words_[slot_number % slots].store(pack(slot_number, held), std::memory_order_relaxed);
    }

    /// \brief Returns the load held at `then`; zero when no change up to then is recorded, and
    /// `current` when `then` itself is older than the history.
    [[nodiscard]] own_load_sample at(state::time_point then, state::time_point now,
                                     own_load_sample current) const noexcept
    {
        std::uint64_t const newest = slot_number_of(now);
        std::uint64_t slot_number = slot_number_of(then);
        if (newest - slot_number >= slots)
        {
            return current;
        }
        std::uint64_t const oldest = newest - slots + 1;
        for (; slot_number >= oldest; --slot_number)
        {
            std::uint64_t const word = words_[slot_number % slots].load(std::memory_order_relaxed);
            if (word >> stamp_shift == (slot_number & stamp_mask))
            {
                return unpack(word);
            }
        }
        return {};
    }

private:
    static constexpr unsigned stamp_shift = 48;
    static constexpr unsigned streams_shift = 32;
    static constexpr std::uint64_t stamp_mask = 0xffff;

    static std::uint64_t slot_number_of(state::time_point at) noexcept
    {
        return static_cast<std::uint64_t>(at.time_since_epoch() / slot_duration) + slots;
    }
    static std::uint64_t pack(std::uint64_t slot_number, own_load_sample held) noexcept
    {
        std::uint64_t const streams = held.streams & stamp_mask;
        return (slot_number & stamp_mask) << stamp_shift | streams << streams_shift | held.tokens;
    }
    static own_load_sample unpack(std::uint64_t word) noexcept
    {
        return {static_cast<std::uint32_t>(word),
                static_cast<std::uint32_t>(word >> streams_shift & stamp_mask)};
    }

    std::array<std::atomic<std::uint64_t>, slots> words_{};
};

} // namespace plumdale::coordination
