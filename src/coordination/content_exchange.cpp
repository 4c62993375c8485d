#include <plumdale/coordination/content_exchange.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Delay before other nodes fetch a value that only another zone holds: the node that fetches it for
// the zone goes first.
constexpr state::duration zone_fetch_delay = std::chrono::milliseconds{300};
constexpr state::duration retry_interval = std::chrono::seconds{1};

} // namespace

void content_exchange::note(state::content_ref const& ref, state::member const& holder,
                            bool fetches_for_zone, state::time_point now)
{
    content_item const* const held = store_.find(ref.key);
    if (held != nullptr && ref <= held->ref)
    {
        return;
    }
    bool const in_own_zone = holder.zone == self_.zone;
    auto const [at, is_new] = pending_fetches_.try_emplace(ref.key);
    pending_fetch& each = at->second;
    if (!is_new && ref < each.ref)
    {
        return;
    }
    if (is_new || ref != each.ref)
    {
        each = {ref, holder.id, holder.streams, in_own_zone, now};
        each.due = in_own_zone || fetches_for_zone ? now : now + zone_fetch_delay;
        return;
    }
    if (in_own_zone && !each.in_own_zone)
    {
        each.due = std::min(each.due, now);
    }
    if (in_own_zone || !each.in_own_zone)
    {
        // If the first peer does not answer, the one that announced it last is asked next.
        each.peer = holder.id;
        each.streams = holder.streams;
        each.in_own_zone = in_own_zone;
    }
}

void content_exchange::announce(state::content_ref const& ref, std::size_t fleet_size)
{
    auto const at = pending_fetches_.find(ref.key);
    if (at != pending_fetches_.end() && at->second.ref <= ref)
    {
        pending_fetches_.erase(at);
    }
    updates_.push(ref.key, fleet_size);
}

void content_exchange::unavailable(content_unavailable const& event, state::time_point now)
{
    auto const at = pending_fetches_.find(event.content.key);
    if (at != pending_fetches_.end())
    {
        at->second.due = std::min(at->second.due, now + zone_fetch_delay);
    }
}

void content_exchange::serve(content_requested const& event, control_actions& actions) const
{
    content_item const* const item = store_.find(event.content.key);
    if (item == nullptr || item->ref < event.content)
    {
        actions.emplace_back(send_content{event.exchange, event.content, {}, nullptr});
        return;
    }
    actions.emplace_back(send_content{event.exchange, item->ref, item->key, item->text});
}

void content_exchange::advance(state::time_point now, control_actions& actions)
{
    for (auto& [key, each] : pending_fetches_)
    {
        if (each.due <= now)
        {
            each.due = now + retry_interval;
            actions.emplace_back(request_content{each.peer, each.streams, each.ref});
        }
    }
}

void content_exchange::piggyback(peer_message& message, bool differs)
{
    for (state::content_key const key : updates_.take(peer_message::max_content))
    {
        if (content_item const* const item = store_.find(key))
        {
            message.content.push_back(item->ref);
        }
    }
    if (!differs)
    {
        return;
    }
    std::size_t const free_count = peer_message::max_content - message.content.size();
    auto const refs = store_.refs(next_index_, free_count);
    next_index_ += refs.size();
    message.content.insert(message.content.end(), refs.begin(), refs.end());
}

state::time_point content_exchange::next_deadline() const noexcept
{
    state::time_point next = state::never;
    for (auto const& [key, each] : pending_fetches_)
    {
        next = std::min(next, each.due);
    }
    return next;
}

} // namespace plumdale::coordination
