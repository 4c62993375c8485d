#include <plumdale/state/member_table.hpp>

#include <algorithm>
#include <tuple>

namespace plumdale::state
{
namespace
{

// A suspicion lasts only seconds, and nodes remove dead members at different times: neither may
// make the digests of tables differ.
std::uint64_t digest_of(member const& info) noexcept
{
    if (info.health == member_health::dead)
    {
        return 0;
    }
    std::uint64_t const leaving = info.health == member_health::leaving ? 1 : 0;
    return mix(mix(info.id.value, info.incarnation_number.value), leaving);
}

struct id_less
{
    bool operator()(member_entry const& entry, node_id id) const noexcept
    {
        return entry.info.id < id;
    }
    bool operator()(node_id id, member_entry const& entry) const noexcept
    {
        return id < entry.info.id;
    }
};

} // namespace

bool is_newer(member const& a, member const& b) noexcept
{
    return std::tuple{a.incarnation_number, a.refutation, a.health} >
           std::tuple{b.incarnation_number, b.refutation, b.health};
}

merge_result member_table::merge(member const& update, time_point now)
{
    auto const at = std::lower_bound(entries_.begin(), entries_.end(), update.id, id_less{});
    if (at == entries_.end() || at->info.id != update.id)
    {
        if (update.health == member_health::dead || entries_.size() >= capacity)
        {
            return merge_result::outdated;
        }
        entries_.insert(at, member_entry{update, now, 0});
        digest_ ^= digest_of(update);
        return merge_result::changed;
    }
    if (is_newer(update, at->info))
    {
        replace(*at, update, now);
        return merge_result::changed;
    }
    return is_newer(at->info, update) ? merge_result::outdated : merge_result::unchanged;
}

void member_table::overwrite(member const& update, time_point now)
{
    if (member_entry* const entry = find(update.id))
    {
        replace(*entry, update, now);
    }
}

bool member_table::remove_dead(time_point time)
{
    return std::erase_if(entries_,
                         [time](member_entry const& entry) {
                             return entry.info.health == member_health::dead &&
                                    entry.changed_at < time;
                         }) != 0;
}

member_entry* member_table::find(node_id id) noexcept
{
    auto const at = std::lower_bound(entries_.begin(), entries_.end(), id, id_less{});
    return at == entries_.end() || at->info.id != id ? nullptr : &*at;
}

member_entry const* member_table::find(node_id id) const noexcept
{
    auto const at = std::lower_bound(entries_.begin(), entries_.end(), id, id_less{});
    return at == entries_.end() || at->info.id != id ? nullptr : &*at;
}

std::span<member_entry const> member_table::after(node_id id, std::size_t count) const noexcept
{
    auto const first = std::upper_bound(entries_.begin(), entries_.end(), id, id_less{});
    auto const left = static_cast<std::size_t>(entries_.end() - first);
    return {first, std::min(count, left)};
}

void member_table::replace(member_entry& entry, member const& update, time_point now)
{
    digest_ ^= digest_of(entry.info) ^ digest_of(update);
    entry = {update, now, 0};
}

} // namespace plumdale::state
