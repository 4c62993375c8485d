#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <random>

/// \file
/// \brief When an entry VM that doesn't read the store does so because its peers can't help.

namespace plumdale::coordination
{

/// \brief Reads the store once if a difference from the peers lasts and no peer's answer brings
/// anything; ever less often while that doesn't help.
///
/// Example:
/// \code
/// fallback.observe(differs, now);
/// if (fallback.take_due(now)) { read the store }
/// \endcode
class store_fallback
{
public:
    explicit store_fallback(std::minstd_rand& random) noexcept : random_{random} {}

    /// \brief Records whether this VM's state differs from its peers'.
    void observe(bool differs, state::time_point now);
    /// \brief Records that a peer's answer brought something.
    void progressed(state::time_point now);
    /// \brief Returns whether the store is to be read now; the next time is later, and later yet in
    /// a fleet of many `peers`.
    [[nodiscard]] bool take_due(std::size_t peers, state::time_point now) noexcept;

    /// \brief Time that peers have, of the few seconds in which a VM has to follow again: a request
    /// that times out, and the pause after it.
    static constexpr state::duration peers_time = std::chrono::milliseconds{900};
    /// \brief Spreads the reads of VMs that lack the same.
    static constexpr state::duration max_jitter = std::chrono::milliseconds{300};
    static constexpr state::duration min_pause = std::chrono::seconds{5};
    /// \brief All VMs share the store's link, on which a whole list is large.
    static constexpr state::duration min_pause_per_peer = std::chrono::milliseconds{50};
    /// \brief Most times that the pause is doubled.
    static constexpr std::uint32_t max_doublings = 4;

private:
    void wait_from(state::time_point now);

    std::minstd_rand& random_;
    /// \brief `never` while nothing differs.
    state::time_point due_at_ = state::never;
    state::time_point paused_until_{};
    std::uint32_t doublings_ = 0;
};

} // namespace plumdale::coordination
