#include <plumdale/coordination/upstream_limits.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace plumdale::coordination
{
namespace
{

double seconds(state::duration time)
{
    return std::chrono::duration<double>{time}.count();
}

// More than any VM sends; keeps the arithmetic in range whatever an answer states.
constexpr double max_per_second = 1e6;

} // namespace

// -- statements -----------------------------------------------------------------------------------

limit_change upstream_limits::answered(state::member_key member, std::optional<double> per_second,
                                       state::time_point now)
{
    auto found = rows_.find(member);
    if (found == rows_.end())
    {
        if (!per_second || rows_.size() >= capacity)
        {
            return limit_change::none;
        }
        found = rows_.emplace(member, row{}).first;
    }
    row& limit = found->second;
    limit.confirmed_at = now;
    bool const is_early = !per_second && now < limit.stated_at + removal_delay;
    if (is_early || (!per_second && !limit.per_second))
    {
        return limit_change::none;
    }
    double const before = limit.per_second.value_or(0.0);
    limit_change const changed = apply_statement(member, limit, per_second, now);
    bool const is_reported =
        changed == limit_change::added || changed == limit_change::removed ||
        std::abs(before - per_second.value_or(0.0)) > report_threshold * before;
    if (changed != limit_change::none && is_reported)
    {
        unreported_.push_back(member);
    }
    return is_reported ? changed : limit_change::none;
}

limit_change upstream_limits::apply_update(state::stated_limit const& reported,
                                           state::time_point now)
{
    // NaN fails every comparison.
    bool const is_valid = !reported.per_second || *reported.per_second >= 0.0;
    state::time_point const as_of = now - reported.age;
    auto found = rows_.find(reported.member);
    if (found == rows_.end())
    {
        // A removal is kept as well: the older statement that it removes may arrive later.
        if (reported.age >= lifetime || !is_valid || rows_.size() >= capacity)
        {
            return limit_change::none;
        }
        found = rows_.emplace(reported.member, row{}).first;
    }
    if (as_of <= found->second.as_of || !is_valid)
    {
        return limit_change::none;
    }
    return apply_statement(reported.member, found->second, reported.per_second, as_of);
}

limit_change upstream_limits::apply_statement(state::member_key member, row& limit,
                                              std::optional<double> per_second,
                                              state::time_point now)
{
    if (per_second)
    {
        per_second = std::min(*per_second, max_per_second);
        limit.stated_at = std::max(limit.stated_at, now);
    }
    limit.as_of = now;
    auto const before = std::exchange(limit.per_second, per_second);
    if (before == per_second)
    {
        return limit_change::none;
    }
    if (!per_second)
    {
        return limit_change::removed;
    }
    if (before)
    {
        return limit_change::updated;
    }
    // The senders' first requests are staggered over the interval of one request.
    update_rank(member, limit);
    limit.allowed =
        static_cast<double>(limit.rank) / static_cast<double>(sender_count(*per_second, limit.vms));
    limit.counted_at = now;
    return limit_change::added;
}

// -- sending --------------------------------------------------------------------------------------

// With more senders, their first requests alone would exceed the limit: each may have accumulated
// one.
std::size_t upstream_limits::sender_count(double per_second, std::size_t vms) noexcept
{
    return std::clamp<std::size_t>(static_cast<std::size_t>(per_second) + 1, 1, vms);
}

// Silent peers count as well: if they are only cut off from this VM, they still send.
void upstream_limits::update_rank(state::member_key member, row& limit) const
{
    std::uint64_t const own = state::mix(self_.value, member.value);
    auto const has_lower_rank = [member, own](auto const& each)
    {
        return state::mix(each.first.value, member.value) < own;
    };
    limit.vms = fleet_.peers().size() + 1;
    limit.rank = static_cast<std::size_t>(
        std::count_if(fleet_.peers().begin(), fleet_.peers().end(), has_lower_rank));
}

double upstream_limits::own_rate(row const& limit) noexcept
{
    std::size_t const senders = sender_count(*limit.per_second, limit.vms);
    return limit.rank < senders
               ? std::max(*limit.per_second, min_rate) / static_cast<double>(senders)
               : 0.0;
}

double upstream_limits::allowed_at(row const& limit, state::time_point now) noexcept
{
    double const elapsed = seconds(std::max(state::duration::zero(), now - limit.counted_at));
    double const rate = own_rate(limit);
    double const max_allowed = std::max(1.0, rate * seconds(max_burst_time));
    return std::min(max_allowed, limit.allowed + elapsed * rate);
}

bool upstream_limits::may_send(state::member_key member, state::time_point now) const
{
    auto const found = rows_.find(member);
    if (found == rows_.end() || !found->second.per_second)
    {
        return true;
    }
    bool const is_sender = own_rate(found->second) > 0.0;
    return is_sender && allowed_at(found->second, now) >= 1.0;
}

void upstream_limits::note_sent(state::member_key member, state::time_point now)
{
    auto const found = rows_.find(member);
    if (found != rows_.end() && found->second.per_second)
    {
        found->second.allowed = allowed_at(found->second, now) - 1.0;
        found->second.counted_at = now;
    }
}

std::optional<double> upstream_limits::limit_of(state::member_key member) const
{
    auto const found = rows_.find(member);
    return found == rows_.end() ? std::nullopt : found->second.per_second;
}

std::optional<shared_limit> upstream_limits::shared_limit_of(state::member_key member) const
{
    auto const found = rows_.find(member);
    if (found == rows_.end() || !found->second.per_second)
    {
        return std::nullopt;
    }
    row const& limit = found->second;
    return shared_limit{*limit.per_second, limit.rank, limit.vms};
}

std::vector<state::node_id> upstream_limits::peers_of_lowest_ranks(state::member_key member,
                                                                   std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, state::node_id>> ranks;
    for (auto const& [node, peer] : fleet_.peers())
    {
        ranks.emplace_back(state::mix(node.value, member.value), node);
    }
    ranks.emplace_back(state::mix(self_.value, member.value), self_);
    std::sort(ranks.begin(), ranks.end());
    ranks.resize(std::min(count, ranks.size()));
    std::vector<state::node_id> nodes;
    for (auto const& [rank, node] : ranks)
    {
        if (node != self_)
        {
            nodes.push_back(node);
        }
    }
    return nodes;
}

void upstream_limits::sweep(state::time_point now)
{
    std::erase_if(rows_, [now](auto const& each) { return now >= each.second.as_of + lifetime; });
    for (auto& [member, limit] : rows_)
    {
        update_rank(member, limit);
    }
}

// -- reporting ------------------------------------------------------------------------------------

std::vector<state::stated_limit> upstream_limits::unreported(state::time_point now)
{
    std::vector<state::stated_limit> reported;
    for (state::member_key const member : std::exchange(unreported_, {}))
    {
        if (auto const found = rows_.find(member); found != rows_.end())
        {
            reported.push_back({member, found->second.per_second, now - found->second.as_of});
        }
    }
    return reported;
}

std::vector<state::stated_limit> upstream_limits::confirmed(std::size_t max_count,
                                                            state::time_point now) const
{
    std::vector<state::stated_limit> reported;
    for (auto const& [member, limit] : rows_)
    {
        bool const is_own = limit.confirmed_at != state::time_point{} &&
                            now < limit.confirmed_at + rebroadcast_time;
        if (is_own && reported.size() < max_count)
        {
            reported.push_back({member, limit.per_second, now - limit.as_of});
        }
    }
    return reported;
}

} // namespace plumdale::coordination
