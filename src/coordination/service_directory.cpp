#include <plumdale/coordination/service_directory.hpp>

#include <algorithm>
#include <bit>

namespace plumdale::coordination
{

using state::member_key;

namespace
{

// Uses the name alone, so that all starts of an upstream are in the same bucket.
[[nodiscard]] std::size_t bucket_of(std::string_view name, std::size_t bucket_count) noexcept
{
    return state::key_of(name, {}).value % bucket_count;
}

// The number of buckets is a power of two, so each bucket of a coarser division is the union of
// buckets of a finer one, and its digest is their exclusive or.
[[nodiscard]] bucket_digests fold(bucket_digests const& digests, std::size_t bucket_count)
{
    bucket_digests folded(bucket_count);
    for (std::size_t i = 0; i < digests.size(); ++i)
    {
        folded[i % bucket_count] ^= digests[i];
    }
    return folded;
}

[[nodiscard]] std::string key_of_zone(std::string_view service, std::string_view zone)
{
    return std::string{service} + '\n' + std::string{zone};
}

[[nodiscard]] std::span<member_key const>
find_members(std::unordered_map<std::string, std::vector<member_key>> const& members,
             std::string const& key)
{
    auto const found = members.find(key);
    return found == members.end() ? std::span<member_key const>{} : found->second;
}

[[nodiscard]] std::uint64_t hash_of_place(state::service_member const& member) noexcept
{
    std::uint64_t const address =
        std::uint64_t{member.address.address} << 16U | member.address.port;
    std::uint64_t const group = state::mix(state::id_from_name<member_key>(member.service).value,
                                           state::id_from_name<member_key>(member.zone).value);
    return state::mix(address, group);
}

// State of the listing with the greatest revision, which determines how a row changes.
struct listing_status
{
    bool listed = false;
    bool usable = false;
};

[[nodiscard]] directory_change change_between(listing_status before, listing_status after) noexcept
{
    bool const was_available = before.listed && before.usable;
    bool const now_available = after.listed && after.usable;
    if (before.listed && !after.listed)
    {
        return directory_change::removed;
    }
    if (!was_available && now_available)
    {
        return directory_change::listed;
    }
    bool const became_unusable = before.usable && after.listed && !after.usable;
    return became_unusable ? directory_change::unusable : directory_change::none;
}

} // namespace

directory_change service_directory::merge(state::service_member const& member,
                                          state::time_point now)
{
    member_key const name_key = state::key_of(member.name, {});
    name_record& name = names_[name_key];
    name.noted_at = now;
    if (!member.listed)
    {
        name.removed_at = std::max(name.removed_at, member.revision);
    }
    if (!member.usable)
    {
        name.unusable_at = std::max(name.unusable_at, member.revision);
    }
    // The platform's removals, and entries that can't be read, don't name a start: they apply to
    // the latest known one.
    bool const names_start = member.started.value != 0 || (member.listed && member.usable);
    state::service_member resolved = member;
    resolved.started = names_start ? member.started : name.latest;
    if (resolved.started != name.latest)
    {
        if (!may_replace_start(name, resolved))
        {
            return directory_change::none;
        }
        replace_start(name, resolved, now);
    }
    if (names_start)
    {
        name.stated_at = std::max(name.stated_at, member.revision);
    }
    if (member.start_confirmed)
    {
        name.confirmed = std::max(name.confirmed, member.started);
    }
    auto const found = entries_.find(state::key_of(resolved));
    if (found != entries_.end())
    {
        return update(found->second, resolved, now);
    }
    return resolved.usable ? insert(resolved, name, now) : directory_change::none;
}

// What the upstream says itself of its start holds: a peer or list that lags would otherwise send
// calls to a process that is gone. What only its entry says holds until a newer entry says
// otherwise, as another writer's start would hide the upstream for good.
bool service_directory::may_replace_start(name_record const& name,
                                          state::service_member const& member) const noexcept
{
    if (member.started < name.confirmed)
    {
        return false;
    }
    if (name.latest < member.started)
    {
        return member.start_confirmed || name.latest.value == 0 || name.stated_at < member.revision;
    }
    bool const is_own_entry = member.started.value != 0 || !states_starts();
    return is_own_entry && member.listed && member.usable && name.stated_at < member.revision;
}

void service_directory::replace_start(name_record& name, state::service_member const& member,
                                      state::time_point now)
{
    supersede(state::key_of(member.name, name.latest), now);
    name.latest = member.started;
    name.stated_at = member.revision;
    // A start that counted before and does again: what it said of its leaving still holds.
    auto const former = entries_.find(state::key_of(member));
    if (former != entries_.end() && former->second.superseded)
    {
        directory_entry& entry = former->second;
        entry.superseded = false;
        entry.leaving_since = entry.info.leaving ? entry.leaving_since : state::never;
        add_to_service(entry, former->first);
    }
}

directory_change service_directory::insert(state::service_member const& member,
                                           name_record const& name, state::time_point now)
{
    member_key const key = state::key_of(member);
    directory_entry& entry = entries_[key];
    entry.info = member;
    entry.info.listed = member.listed && name.removed_at <= member.revision;
    entry.info.usable = name.unusable_at <= member.revision;
    entry.info.revision = std::max({member.revision, name.removed_at, name.unusable_at});
    entry.listed_at = now;
    note_cold(entry, member, now);
    add_to_service(entry, key);
    include(entry.info);
    if (!entry.info.listed)
    {
        entry.leaving_since = now;
        entry.removal_effective_at = now;
        return directory_change::removed;
    }
    if (member.leaving)
    {
        entry.leaving_since = now;
        return directory_change::leaving;
    }
    if (entry.info.usable && is_complete_)
    {
        entry.newly_listed_at = now;
    }
    return entry.info.usable ? directory_change::listed : directory_change::unusable;
}

void service_directory::note_cold(directory_entry& entry, state::service_member const& member,
                                  state::time_point now)
{
    if (member.cold_ms != 0)
    {
        state::duration const time = std::chrono::milliseconds{member.cold_ms};
        entry.cold_until = std::max(entry.cold_until, now + std::min(time, max_cold_time));
    }
}

void service_directory::note_cold(member_key key, state::duration time, state::time_point now)
{
    if (auto const found = entries_.find(key); found != entries_.end())
    {
        found->second.cold_until =
            std::max(found->second.cold_until, now + std::min(time, max_cold_time));
    }
}

state::time_point service_directory::cold_until(directory_entry const& entry,
                                                state::cold_limits const& limits) const
{
    // The platform reports a start up to a heartbeat late, and the end of an evacuation at once:
    // the upstream may have become cold just before it.
    state::time_point until = entry.cold_until;
    if (entry.newly_listed_at)
    {
        until = std::max(until, *entry.newly_listed_at + limits.time);
    }
    state::time_point const ended =
        evacuations_.ended_at(state::id_from_name<state::zone_id>(entry.info.zone));
    return ended == state::time_point{} ? until : std::max(until, ended + limits.time);
}

directory_change service_directory::update(directory_entry& entry,
                                           state::service_member const& member,
                                           state::time_point now)
{
    bool const started_leaving = member.leaving && !entry.info.leaving;
    listing_status const before{entry.info.listed, entry.info.usable};
    bool const was_cold = now < entry.cold_until;
    bool has_moved = false;
    exclude(entry.info);
    entry.info.leaving = entry.info.leaving || member.leaving;
    entry.info.start_confirmed = entry.info.start_confirmed || member.start_confirmed;
    if (member.revision > entry.info.revision)
    {
        has_moved = adopt(entry, member);
        note_cold(entry, member, now);
    }
    include(entry.info);
    if (started_leaving)
    {
        entry.leaving_since = std::min(entry.leaving_since, now);
    }
    directory_change const change = change_between(before, {entry.info.listed, entry.info.usable});
    if (change == directory_change::removed)
    {
        // An entry that expired during an outage of the platform is listed again if its upstream is
        // alive; dropping it at once would empty the directory after each outage.
        entry.removal_effective_at = std::max(now, lapse_until_);
    }
    if (change == directory_change::listed && is_complete_)
    {
        entry.newly_listed_at = now;
    }
    if (entry.info.listed)
    {
        entry.removal_effective_at = state::never;
    }
    if (started_leaving && change != directory_change::removed)
    {
        return directory_change::leaving;
    }
    if (change != directory_change::none)
    {
        return change;
    }
    // Only readers of the store see its entry. Without these changes each other VM would go on
    // sending it calls elsewhere, or as many as the whole fleet may.
    bool const became_cold = !was_cold && now < entry.cold_until;
    return has_moved     ? directory_change::moved
           : became_cold ? directory_change::cold
                         : directory_change::none;
}

// The newest entry counts as a whole, so that the upstream's next entry undoes one of another
// writer.
bool service_directory::adopt(directory_entry& entry, state::service_member const& member)
{
    entry.info.revision = member.revision;
    entry.info.listed = member.listed;
    entry.info.usable = member.usable;
    if (!member.listed || !member.usable)
    {
        return false;
    }
    member_key const key = state::key_of(entry.info);
    bool const has_new_group =
        member.service != entry.info.service || member.zone != entry.info.zone;
    bool const has_moved = has_new_group || member.address != entry.info.address;
    if (has_new_group)
    {
        drop_from_service(entry, key);
    }
    entry.info.service = member.service;
    entry.info.zone = member.zone;
    if (has_new_group)
    {
        add_to_service(entry, key);
    }
    entry.info.address = member.address;
    entry.info.slots = member.slots;
    entry.info.cold_ms = member.cold_ms;
    return has_moved;
}

void service_directory::supersede(member_key former, state::time_point now)
{
    auto const found = entries_.find(former);
    if (found == entries_.end())
    {
        return;
    }
    directory_entry& entry = found->second;
    exclude(entry.info);
    entry.info.listed = false;
    entry.superseded = true;
    entry.leaving_since = std::min(entry.leaving_since, now);
    entry.removal_effective_at = std::min(entry.removal_effective_at, now);
    drop_from_service(entry, former);
}

void service_directory::add_to_service(directory_entry const& entry, member_key key)
{
    services_[entry.info.service].push_back(key);
    services_by_zone_[key_of_zone(entry.info.service, entry.info.zone)].push_back(key);
}

void service_directory::drop_from_service(directory_entry const& entry, member_key key)
{
    std::erase(services_[entry.info.service], key);
    std::erase(services_by_zone_[key_of_zone(entry.info.service, entry.info.zone)], key);
}

directory_change service_directory::mark_leaving(member_key key, state::time_point now)
{
    auto const found = entries_.find(key);
    bool const is_news = found != entries_.end() && !found->second.info.leaving;
    if (!is_news || found->second.superseded)
    {
        return directory_change::none;
    }
    directory_entry& entry = found->second;
    exclude(entry.info);
    entry.info.leaving = true;
    include(entry.info);
    entry.leaving_since = std::min(entry.leaving_since, now);
    return directory_change::leaving;
}

void service_directory::mark_replaced(member_key key, state::time_point now)
{
    if (auto const found = entries_.find(key); found != entries_.end())
    {
        found->second.replaced = true;
        found->second.leaving_since = std::min(found->second.leaving_since, now);
    }
}

void service_directory::platform_recovered(state::time_point now) noexcept
{
    lapse_until_ = now + lapse_grace;
}

void service_directory::forget(state::time_point now)
{
    std::erase_if(entries_,
                  [this, now](auto const& row)
                  {
                      directory_entry const& entry = row.second;
                      bool const drop = !entry.info.listed &&
                                        entry.removal_effective_at != state::never &&
                                        entry.removal_effective_at + removed_retention < now;
                      if (drop)
                      {
                          exclude(entry.info);
                          drop_from_service(entry, row.first);
                      }
                      return drop;
                  });
    std::erase_if(names_,
                  [this, now](auto const& row)
                  {
                      bool const is_old = row.second.noted_at + removed_retention < now;
                      return is_old && !entries_.contains(
                                           state::key_of_incarnation(row.first, row.second.latest));
                  });
}

std::vector<state::service_member>
service_directory::rows_missing_in(std::unordered_set<std::string_view> const& names,
                                   std::uint64_t revision) const
{
    std::vector<state::service_member> missing;
    for (auto const& [key, entry] : entries_)
    {
        bool const is_gone =
            entry.info.listed && entry.info.revision < revision && !names.contains(entry.info.name);
        if (is_gone)
        {
            missing.push_back(entry.info);
            missing.back().listed = false;
            missing.back().revision = revision;
        }
    }
    return missing;
}

std::optional<member_key> service_directory::latest(std::string_view name) const
{
    auto const found = names_.find(state::key_of(name, {}));
    if (found == names_.end())
    {
        return std::nullopt;
    }
    member_key const key = state::key_of(name, found->second.latest);
    return entries_.contains(key) ? std::optional{key} : std::nullopt;
}

directory_entry const* service_directory::find(member_key key) const
{
    auto const found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

bool service_directory::may_take_work(directory_entry const& entry,
                                      state::time_point now) const noexcept
{
    return is_available(entry, now) && !is_evacuated(entry);
}

// The generation leaves again with its first event; otherwise it would be lost.
bool service_directory::may_take_resumption(directory_entry const& entry,
                                            state::time_point now) const noexcept
{
    bool const has_notice = entry.info.leaving && now >= entry.leaving_since + new_notice;
    return is_valid(entry, now) && !has_notice && !is_evacuated(entry);
}

bool service_directory::is_evacuated(directory_entry const& entry) const noexcept
{
    bool const any = !evacuations_.known().in_force.empty();
    return any && evacuations_.covers(state::id_from_name<state::zone_id>(entry.info.zone));
}

bool service_directory::is_wholly_evacuated(std::string_view service, state::time_point now) const
{
    if (evacuations_.known().in_force.empty())
    {
        return false;
    }
    std::size_t available_count = 0;
    for (member_key const key : members_of(service))
    {
        directory_entry const* const entry = find(key);
        bool const is_counted = entry != nullptr && is_available(*entry, now);
        if (is_counted && !is_evacuated(*entry))
        {
            return false;
        }
        available_count += is_counted ? 1 : 0;
    }
    return available_count > 0;
}

bool service_directory::is_available(directory_entry const& entry,
                                     state::time_point now) const noexcept
{
    return is_valid(entry, now) && !entry.info.leaving;
}

bool service_directory::is_valid(directory_entry const& entry, state::time_point now) const noexcept
{
    // Upstreams of one platform state their starts or don't. Where most do, an entry without one
    // was not written by its upstream; one entry with a start says nothing of all others.
    bool const is_own_entry = entry.info.started.value != 0 || !states_starts();
    return entry.info.usable && is_own_entry && !entry.replaced && !entry.superseded &&
           now < entry.removal_effective_at;
}

std::span<member_key const> service_directory::members_of(std::string_view service) const
{
    return find_members(services_, std::string{service});
}

std::span<member_key const> service_directory::members_of(std::string_view service,
                                                          std::string_view zone) const
{
    return find_members(services_by_zone_, key_of_zone(service, zone));
}

void service_directory::include(state::service_member const& member) noexcept
{
    toggle_digest(member);
    if (member.listed && member.usable)
    {
        ++(member.started.value != 0 ? with_start_ : without_start_);
    }
}

void service_directory::exclude(state::service_member const& member) noexcept
{
    toggle_digest(member);
    if (member.listed && member.usable)
    {
        --(member.started.value != 0 ? with_start_ : without_start_);
    }
}

void service_directory::toggle_digest(state::service_member const& member) noexcept
{
    // Removed rows are left out, as peers erase them at different times.
    if (member.listed)
    {
        std::uint64_t const status_bits = (member.leaving ? 2U : 1U) + (member.usable ? 0U : 2U);
        // An unusable entry doesn't say where its upstream is.
        std::uint64_t const place = member.usable ? hash_of_place(member) : 0;
        std::uint64_t const row =
            state::mix(state::mix(state::key_of(member).value, status_bits), place);
        digest_ ^= row;
        digests_by_bucket_[bucket_of(member.name, max_buckets)] ^= row;
    }
}

bucket_digests service_directory::digests_by_bucket() const
{
    std::size_t const wanted = std::bit_ceil(entries_.size() / rows_per_bucket + 1);
    return fold(digests_by_bucket_, std::clamp(wanted, min_buckets, max_buckets));
}

// An answer with all rows of a large directory took longer than its requester waited, so that
// nothing of it arrived; one of bounded size always brings its requester further. Requesters that
// lack the same rows get different ones, and can exchange these.
differing_rows service_directory::rows_differing_from(bucket_digests const& others,
                                                      std::size_t max_rows,
                                                      std::uint64_t random_value) const
{
    std::size_t const bucket_count = others.size();
    bucket_digests const own = fold(digests_by_bucket_, bucket_count);
    struct placed_row
    {
        std::size_t place = 0;
        state::service_member const* member = nullptr;
    };
    std::vector<placed_row> placed;
    for (auto const& [key, entry] : entries_)
    {
        std::size_t const bucket = bucket_of(entry.info.name, bucket_count);
        if (own[bucket] != others[bucket])
        {
            placed.push_back({(bucket + random_value) % bucket_count, &entry.info});
        }
    }
    std::sort(placed.begin(), placed.end(),
              [](placed_row const& a, placed_row const& b) { return a.place < b.place; });
    differing_rows rows;
    for (std::size_t i = 0; i < placed.size(); ++i)
    {
        bool const is_new_bucket = i > 0 && placed[i].place != placed[i - 1].place;
        if (is_new_bucket && rows.members.size() >= max_rows)
        {
            rows.is_rest = false;
            break;
        }
        rows.members.push_back(*placed[i].member);
    }
    return rows;
}

} // namespace plumdale::coordination
