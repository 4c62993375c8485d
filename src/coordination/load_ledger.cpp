#include <plumdale/coordination/load_ledger.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

std::uint32_t minus(std::uint32_t from, std::uint32_t what) noexcept
{
    return from - std::min(from, what);
}

void raise(member_load& sum, member_load const& by) noexcept
{
    sum.calls += by.calls;
    sum.tokens += by.tokens;
    sum.tokens_at_end += by.tokens_at_end;
    sum.unread += by.unread;
}

void lower(member_load& sum, member_load const& by) noexcept
{
    sum.calls = minus(sum.calls, by.calls);
    sum.tokens = minus(sum.tokens, by.tokens);
    sum.tokens_at_end = minus(sum.tokens_at_end, by.tokens_at_end);
    sum.unread = minus(sum.unread, by.unread);
}

} // namespace

void load_ledger::add(state::member_key member, member_load const& load)
{
    member_load& row = own_[member];
    row.member = member;
    raise(row, load);
}

void load_ledger::remove(state::member_key member, member_load const& load)
{
    lower(own_[member], load);
}

void load_ledger::replace(peer_rows& peer, member_load const& row)
{
    member_load& known = peer.rows[row.member];
    member_load& sum = peers_total_[row.member];
    lower(sum, known);
    known = row;
    raise(sum, known);
}

void load_ledger::clear(peer_rows& peer)
{
    for (auto const& [member, row] : peer.rows)
    {
        lower(peers_total_[member], row);
    }
    peer.rows.clear();
}

void load_ledger::take(state::node_id peer, state::incarnation uptime, std::uint64_t sequence,
                       bool whole, std::span<member_load const> rows, state::time_point now)
{
    peer_rows& known = peers_[peer];
    if (uptime != known.uptime)
    {
        clear(known);
        known.uptime = uptime;
        known.sequence = 0;
    }
    // A datagram that was overtaken tells of the past; its rows would bring ended calls back.
    if (sequence <= known.sequence)
    {
        return;
    }
    known.sequence = sequence;
    known.heard = now;
    if (whole)
    {
        clear(known);
    }
    for (member_load const& row : rows)
    {
        replace(known, row);
    }
}

void load_ledger::forget_silent(state::time_point now, state::duration silence)
{
    for (auto peer = peers_.begin(); peer != peers_.end();)
    {
        bool const silent = peer->second.heard + silence < now;
        if (silent)
        {
            clear(peer->second);
        }
        peer = silent ? peers_.erase(peer) : std::next(peer);
    }
    std::erase_if(own_, [](auto const& row) { return row.second.calls == 0; });
    std::erase_if(peers_total_, [](auto const& row) { return row.second.calls == 0; });
}

member_load load_ledger::own(state::member_key member) const
{
    auto const found = own_.find(member);
    return found == own_.end() ? member_load{member, 0, 0, 0, 0} : found->second;
}

member_load load_ledger::total(state::member_key member) const
{
    member_load sum = own(member);
    if (auto const found = peers_total_.find(member); found != peers_total_.end())
    {
        raise(sum, found->second);
    }
    return sum;
}

std::vector<member_load> load_ledger::own_generations() const
{
    std::vector<member_load> rows;
    for (auto const& [member, row] : own_)
    {
        if (row.tokens != 0)
        {
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace plumdale::coordination
