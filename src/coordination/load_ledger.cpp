#include <plumdale/coordination/load_ledger.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

std::uint32_t saturating_subtract(std::uint32_t from, std::uint32_t amount) noexcept
{
    return from - std::min(from, amount);
}

void add_to(member_load& sum, member_load const& by) noexcept
{
    sum.calls += by.calls;
    sum.tokens += by.tokens;
    sum.tokens_at_end += by.tokens_at_end;
    sum.pending_prefill_tokens += by.pending_prefill_tokens;
}

void subtract_from(member_load& sum, member_load const& by) noexcept
{
    sum.calls = saturating_subtract(sum.calls, by.calls);
    sum.tokens = saturating_subtract(sum.tokens, by.tokens);
    sum.tokens_at_end = saturating_subtract(sum.tokens_at_end, by.tokens_at_end);
    sum.pending_prefill_tokens =
        saturating_subtract(sum.pending_prefill_tokens, by.pending_prefill_tokens);
}

} // namespace

void load_ledger::add(state::member_key member, member_load const& load)
{
    member_load& row = own_[member];
    row.member = member;
    add_to(row, load);
}

void load_ledger::remove(state::member_key member, member_load const& load)
{
    subtract_from(own_[member], load);
}

void load_ledger::replace(peer_rows& peer, member_load const& row)
{
    member_load& known = peer.rows[row.member];
    member_load& sum = peers_total_[row.member];
    subtract_from(sum, known);
    known = row;
    add_to(sum, known);
}

void load_ledger::clear(peer_rows& peer)
{
    for (auto const& [member, row] : peer.rows)
    {
        subtract_from(peers_total_[member], row);
    }
    peer.rows.clear();
}

void load_ledger::apply_update(state::node_id peer, state::incarnation incarnation_number,
                               std::uint64_t sequence, bool is_complete,
                               std::span<member_load const> rows, state::time_point now)
{
    peer_rows& known = peers_[peer];
    if (incarnation_number != known.incarnation_number)
    {
        clear(known);
        known.incarnation_number = incarnation_number;
        known.sequence = 0;
    }
    // The rows of a reordered datagram are outdated and would restore ended calls.
    if (sequence <= known.sequence)
    {
        return;
    }
    known.sequence = sequence;
    known.last_contact = now;
    if (is_complete)
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
        bool const silent = peer->second.last_contact + silence < now;
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
        add_to(sum, found->second);
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
