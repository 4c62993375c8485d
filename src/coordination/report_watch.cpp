#include <plumdale/coordination/report_watch.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// A silent store sends no notice, and drafts without a backup broke off with their upstream: 18 of
// 294 on a day whose store was silent for 8 s while a sixth of the engines was reclaimed every 3.3
// s. The upstream itself tells that it leaves, and when. Each of them is asked by one VM: a report
// costs as much as a health check.
std::vector<state::member_key>
report_watch::due(load_ledger const& ledger, state::duration platform_age, state::time_point now)
{
    std::vector<state::member_key> members;
    if (platform_age < stale)
    {
        asked_.clear();
        return members;
    }
    std::vector<member_load> rows = ledger.own_generations();
    // Those with the most to lose first, for there may be more than can be asked.
    std::sort(rows.begin(), rows.end(),
              [](member_load const& a, member_load const& b) { return a.tokens > b.tokens; });
    auto const recent = static_cast<std::size_t>(
        std::count_if(asked_.begin(), asked_.end(),
                      [now](auto const& row) { return now - row.second < interval; }));
    for (member_load const& row : rows)
    {
        if (recent + members.size() >= most_asked)
        {
            break;
        }
        auto const asked = asked_.find(row.member);
        bool const is_due = asked == asked_.end() || now - asked->second >= interval;
        if (is_due && is_first_holder(ledger, row.member))
        {
            members.push_back(row.member);
        }
    }
    for (state::member_key const member : members)
    {
        asked_[member] = now;
    }
    return members;
}

bool report_watch::is_first_holder(load_ledger const& ledger, state::member_key member) const
{
    std::uint64_t const own = state::mix(self_.value, member.value);
    std::vector<state::node_id> const others = ledger.peers_at(member);
    return std::none_of(others.begin(), others.end(),
                        [member, own](state::node_id peer)
                        { return state::mix(peer.value, member.value) < own; });
}

} // namespace plumdale::coordination
