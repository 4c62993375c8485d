#include <plumdale/coordination/member_selection.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

[[nodiscard]] bool contains(selection_scope const& scope, state::member const& info) noexcept
{
    return info.id != scope.self && is_not_dead(info) && (!scope.zone || info.zone == scope.zone);
}

} // namespace

// The set depends on the table alone, each member is monitored by as many members as it monitors,
// and a change of the table affects only the neighbours of the changed member.
std::vector<state::node_id> ring_successors(selection_scope const& scope, std::uint64_t salt,
                                            std::size_t count)
{
    std::uint64_t const from = state::mix(scope.self.value, salt);
    std::vector<std::pair<std::uint64_t, state::node_id>> nearest;
    for (state::member_entry const& entry : scope.table.entries())
    {
        if (!contains(scope, entry.info))
        {
            continue;
        }
        std::pair const candidate{state::mix(entry.info.id.value, salt) - from, entry.info.id};
        nearest.insert(std::upper_bound(nearest.begin(), nearest.end(), candidate), candidate);
        if (nearest.size() > count)
        {
            nearest.pop_back();
        }
    }
    std::vector<state::node_id> result;
    for (auto const& each : nearest)
    {
        result.push_back(each.second);
    }
    return result;
}

std::vector<state::member> random_members(selection_scope const& scope, std::size_t count,
                                          std::minstd_rand& random)
{
    std::vector<state::member_entry const*> chosen;
    std::size_t seen = 0;
    for (state::member_entry const& entry : scope.table.entries())
    {
        if (!contains(scope, entry.info))
        {
            continue;
        }
        ++seen;
        if (chosen.size() < count)
        {
            chosen.push_back(&entry);
            continue;
        }
        std::size_t const at = std::uniform_int_distribution<std::size_t>{0, seen - 1}(random);
        if (at < count)
        {
            chosen[at] = &entry;
        }
    }
    std::vector<state::member> result;
    for (state::member_entry const* const entry : chosen)
    {
        result.push_back(entry->info);
    }
    return result;
}

bool is_responsible(state::member_table const& table, state::member const& self,
                    std::uint64_t subject, std::size_t count, bool own_zone)
{
    std::uint64_t const own = state::mix(self.id.value, subject);
    std::size_t before = 0;
    for (state::member_entry const& entry : table.entries())
    {
        state::member const& info = entry.info;
        bool const counts = info.id != self.id && info.health <= state::member_health::suspect &&
                            (!own_zone || info.zone == self.zone);
        if (counts && state::mix(info.id.value, subject) > own)
        {
            ++before;
        }
    }
    return self.health <= state::member_health::suspect && before < count;
}

} // namespace plumdale::coordination
