#include <plumdale/coordination/recent_keys.hpp>

#include <algorithm>

namespace plumdale::coordination
{

recent_keys::recent_keys(state::duration window, std::uint32_t max_keys, state::time_point start)
    : window_{window}, max_keys_{max_keys}, complete_since_{start}
{
}

void recent_keys::remember(state::idempotency_key_id key, key_entry const& entry,
                           state::time_point now)
{
    entries_[key] = {entry, now};
    eviction_queue_.push_back({key, now});
    evict_old(now);
}

key_entry const* recent_keys::find(state::idempotency_key_id key) const noexcept
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.entry;
}

void recent_keys::clear_generation(state::idempotency_key_id key) noexcept
{
    if (auto const found = entries_.find(key); found != entries_.end())
    {
        found->second.entry.generation = {};
    }
}

void recent_keys::mark_incomplete_until(state::time_point now) noexcept
{
    complete_since_ = std::max(complete_since_, now);
}

void recent_keys::evict_old(state::time_point now)
{
    while (!eviction_queue_.empty())
    {
        eviction_entry const oldest = eviction_queue_.front();
        bool const expired = oldest.recorded_at + window_ < now;
        bool const too_many = entries_.size() > max_keys_;
        if (!expired && !too_many)
        {
            return;
        }
        eviction_queue_.pop_front();
        auto const found = entries_.find(oldest.key);
        if (found == entries_.end() || found->second.recorded_at != oldest.recorded_at)
        {
            continue;
        }
        entries_.erase(found);
        if (!expired)
        {
            // A repeat of this key would find no entry and run again, so until another window has
            // passed, a missing key does not count as never seen.
            complete_since_ = std::max(complete_since_, oldest.recorded_at);
        }
    }
}

} // namespace plumdale::coordination
