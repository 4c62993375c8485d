#include <plumdale/coordination/service_directory.hpp>

#include <algorithm>

namespace plumdale::coordination
{

using state::member_key;

directory_change service_directory::join(state::service_member const& member, state::time_point now)
{
    member_key const key = state::key_of(member);
    auto const [position, is_new] = entries_.try_emplace(key);
    directory_entry& entry = position->second;
    if (is_new)
    {
        entry.info = member;
        entry.listed_at = now;
        services_[member.service].push_back(key);
        toggle_digest(entry.info);
        if (!member.listed)
        {
            entry.leaving_since = now;
            entry.removed_from = now;
            return directory_change::removed;
        }
        if (member.leaving)
        {
            entry.leaving_since = now;
            return directory_change::leaving;
        }
        return directory_change::listed;
    }
    bool const begins_to_leave = member.leaving && !entry.info.leaving;
    bool const flips = member.revision > entry.info.revision && member.listed != entry.info.listed;
    toggle_digest(entry.info);
    entry.info.leaving = entry.info.leaving || member.leaving;
    if (member.revision > entry.info.revision)
    {
        entry.info.revision = member.revision;
        entry.info.listed = member.listed;
    }
    toggle_digest(entry.info);
    if (begins_to_leave)
    {
        entry.leaving_since = std::min(entry.leaving_since, now);
    }
    if (flips && !entry.info.listed)
    {
        // An entry that ran out while the platform was away comes back if its upstream lives; to
        // drop it at once would empty the directory after each outage.
        entry.removed_from = std::max(now, lapse_until_);
        return directory_change::removed;
    }
    if (flips)
    {
        entry.removed_from = state::never;
        return directory_change::listed;
    }
    return begins_to_leave ? directory_change::leaving : directory_change::none;
}

void service_directory::replaced(member_key key, state::time_point now)
{
    if (auto const found = entries_.find(key); found != entries_.end())
    {
        found->second.replaced = true;
        found->second.leaving_since = std::min(found->second.leaving_since, now);
    }
}

void service_directory::platform_returned(state::time_point now) noexcept
{
    lapse_until_ = now + lapse_grace;
}

void service_directory::forget(state::time_point now)
{
    std::erase_if(entries_,
                  [this, now](auto const& row)
                  {
                      directory_entry const& entry = row.second;
                      bool const drop = !entry.info.listed && entry.removed_from != state::never &&
                                        entry.removed_from + remember_removed < now;
                      if (drop)
                      {
                          toggle_digest(entry.info);
                          std::erase(services_[entry.info.service], row.first);
                      }
                      return drop;
                  });
}

directory_entry const* service_directory::find(member_key key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

bool service_directory::may_take_work(directory_entry const& entry,
                                      state::time_point now) const noexcept
{
    return !entry.info.leaving && !entry.replaced && now < entry.removed_from;
}

std::span<member_key const> service_directory::members_of(std::string_view service) const
{
    auto const found = services_.find(std::string{service});
    if (found == services_.end())
    {
        return {};
    }
    return found->second;
}

void service_directory::toggle_digest(state::service_member const& member) noexcept
{
    // Rows that are removed don't count: peers forget them at different times.
    if (member.listed)
    {
        digest_ ^= state::mix(state::key_of(member).value, member.leaving ? 2 : 1);
    }
}

} // namespace plumdale::coordination
