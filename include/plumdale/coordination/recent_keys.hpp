#pragma once

#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <deque>
#include <unordered_map>

/// \file
/// \brief Idempotency keys that their home VM has seen recently.

namespace plumdale::coordination
{

/// \brief One key: the generation that it started and the digest of its request.
struct key_entry
{
    /// \brief None when no attempt under this key has run.
    state::generation_id generation;
    /// \brief Digest of the request; a key is valid for one request only.
    std::uint64_t content_digest = 0;
};

/// \brief Recently used keys, bounded in number and age.
///
/// `complete_since()` accounts for keys that were evicted early because of the number: every key
/// since then is still known. Example: `keys.remember(key, {id, content}, now)`.
class recent_keys
{
public:
    /// \param window how long a key is remembered
    /// \param max_keys largest number of keys remembered
    /// \param start time from which keys are recorded
    recent_keys(state::duration window, std::uint32_t max_keys, state::time_point start);

    void remember(state::idempotency_key_id key, key_entry const& entry, state::time_point now);
    /// \brief Returns the entry of a key, or null.
    [[nodiscard]] key_entry const* find(state::idempotency_key_id key) const noexcept;
    /// \brief Records that a key's attempt did not run, so that a repeat may run.
    void clear_generation(state::idempotency_key_id key) noexcept;
    /// \brief Records that this process may have missed attempts made before `now`.
    void mark_incomplete_until(state::time_point now) noexcept;
    /// \brief Returns the time since which every key seen here is remembered.
    [[nodiscard]] state::time_point complete_since() const noexcept
    {
        return complete_since_;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }

private:
    struct stored
    {
        key_entry entry;
        state::time_point recorded_at;
    };
    struct eviction_entry
    {
        state::idempotency_key_id key;
        state::time_point recorded_at;
    };

    void evict_old(state::time_point now);

    state::duration window_;
    std::uint32_t max_keys_;
    state::time_point complete_since_;
    std::unordered_map<state::idempotency_key_id, stored> entries_;
    std::deque<eviction_entry> eviction_queue_;
};

} // namespace plumdale::coordination
