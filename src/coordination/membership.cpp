#include <plumdale/coordination/membership.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

using state::member_health;

constexpr std::size_t zone_gossip_fanout = 2;
constexpr std::size_t fleet_gossip_fanout = 2;
// Updates of one interval are sent together, which bounds the cost of a burst.
constexpr state::duration gossip_interval = std::chrono::milliseconds{100};
constexpr state::duration catching_up_time = std::chrono::seconds{10};

} // namespace

membership::membership(node_settings const& settings, std::uint64_t seed)
    : settings_{settings}, random_{static_cast<std::minstd_rand::result_type>(
                               state::mix(seed, settings.self.id.value))},
      self_{settings.self}, candidates_{settings.seeds}
{
    self_.health = member_health::alive;
    table_.merge(self_, state::time_point{});
}

// -- time --------------------------------------------------------------------------------------

state::time_point membership::next_deadline() const noexcept
{
    state::time_point const gossip_at = gossip_due_ ? last_gossip_ + gossip_interval : state::never;
    return std::min({next_round_at_, indirect_probe_at_, next_suspicion_expiry_, gossip_at});
}

void membership::advance(state::time_point now, control_actions& actions)
{
    if (!started_)
    {
        started_ = true;
        started_at_ = now;
        next_round_at_ = now;
        last_gossip_ = now - gossip_interval;
    }
    // A round that begins more than an interval late means that this process was paused, not that
    // its peers did not answer: without this check, a resumed node declares half the fleet dead.
    if (now - next_round_at_ > settings_.probe_interval &&
        settings_.safeguards.has(safeguard::pause_recheck))
    {
        resume_after_pause(now);
    }
    expire_suspicions(now);
    if (now >= indirect_probe_at_)
    {
        indirect_probe_at_ = state::never;
        probe_indirectly(actions);
    }
    if (now >= next_round_at_)
    {
        end_round(now);
        remove_dead(now);
        begin_round(now, actions);
    }
    gossip_updates(now, actions);
}

void membership::resume_after_pause(state::time_point now)
{
    probes_.clear();
    relayed_probes_.clear();
    indirect_probe_at_ = state::never;
    next_round_at_ = now;
    digests_match_ = false;
    started_at_ = now;
    for (state::member_entry& entry : table_.entries())
    {
        entry.failed_rounds = 0;
        if (entry.info.health == member_health::suspect)
        {
            entry.changed_at = now;
        }
    }
    next_suspicion_expiry_ = now + settings_.suspicion_time;
}

bool membership::catching_up(state::time_point now) const noexcept
{
    return !digests_match_ && now - started_at_ < catching_up_time;
}

// -- received messages -------------------------------------------------------------------------

void membership::receive(state::endpoint from, peer_message const& message, state::time_point now,
                         control_actions& actions)
{
    if (message.sender.id == self_.id)
    {
        merge_self(message.sender, now);
        return;
    }
    merge(message.sender, now);
    for (state::member const& each : message.members)
    {
        merge(each, now);
    }
    switch (message.kind)
    {
    case peer_message_kind::ping:
        return answer_ping(from, message, actions);
    case peer_message_kind::ping_request:
        return relay_ping(from, message, actions);
    case peer_message_kind::ack:
        return receive_ack(from, message, now, actions);
    case peer_message_kind::update:
        return;
    }
}

void membership::merge(state::member const& update, state::time_point now)
{
    if (update.id == self_.id)
    {
        merge_self(update, now);
        return;
    }
    if (!settings_.safeguards.has(safeguard::member_incarnation))
    {
        table_.overwrite(update, now);
        ++version_;
        return;
    }
    if (table_.merge(update, now) != state::merge_result::changed)
    {
        return;
    }
    ++version_;
    if (update.health == member_health::suspect)
    {
        next_suspicion_expiry_ = std::min(next_suspicion_expiry_, now + settings_.suspicion_time);
    }
    queue_update(update.id);
}

void membership::merge_self(state::member const& update, state::time_point now)
{
    if (update.incarnation_number > self_.incarnation_number)
    {
        replaced_by_ = std::max(replaced_by_, update.incarnation_number);
        return;
    }
    // A later refutation replaces the suspicion, or even the death, in every table.
    if (update.incarnation_number == self_.incarnation_number &&
        update.refutation >= self_.refutation && update.health > self_.health)
    {
        if (update.health == member_health::dead)
        {
            presumed_dead_at_ = now;
        }
        self_.refutation = update.refutation + 1;
        ++version_;
        table_.merge(self_, state::time_point{});
        queue_update(self_.id);
    }
}

// -- suspicion ---------------------------------------------------------------------------------

void membership::suspect(state::member_entry& entry, state::time_point now)
{
    state::member update = entry.info;
    if (update.health == member_health::suspect)
    {
        return;
    }
    // `leaving` replaces `suspect`, so a draining member can't be marked as suspect; instead, it is
    // given the suspicion time in further failed rounds before it is declared dead.
    bool const is_leaving = update.health == member_health::leaving;
    auto const extra = settings_.suspicion_time / settings_.probe_interval;
    bool const guarded = settings_.safeguards.has(safeguard::suspicion);
    if (is_leaving && guarded &&
        entry.failed_rounds < failed_rounds_to_suspect + static_cast<std::uint32_t>(extra))
    {
        return;
    }
    update.health = is_leaving || !guarded ? member_health::dead : member_health::suspect;
    merge(update, now);
}

void membership::expire_suspicions(state::time_point now)
{
    if (now < next_suspicion_expiry_)
    {
        return;
    }
    next_suspicion_expiry_ = state::never;
    std::vector<state::member> expired;
    for (state::member_entry const& entry : std::as_const(table_).entries())
    {
        if (entry.info.health != member_health::suspect)
        {
            continue;
        }
        state::time_point const ends = entry.changed_at + settings_.suspicion_time;
        if (ends <= now)
        {
            expired.push_back(entry.info);
        }
        else
        {
            next_suspicion_expiry_ = std::min(next_suspicion_expiry_, ends);
        }
    }
    for (state::member& each : expired)
    {
        each.health = member_health::dead;
        merge(each, now);
    }
}

void membership::remove_dead(state::time_point now)
{
    if (table_.remove_dead(now - settings_.remember_dead))
    {
        ++version_;
    }
}

void membership::leave(state::time_point now)
{
    self_.health = member_health::leaving;
    table_.merge(self_, now);
    queue_update(self_.id);
}

void membership::set_candidates(std::span<state::endpoint const> candidates)
{
    candidates_.assign(settings_.seeds.begin(), settings_.seeds.end());
    std::size_t const most = std::min(candidates.size(), state::member_table::capacity);
    candidates_.insert(candidates_.end(), candidates.begin(),
                       candidates.begin() + static_cast<std::ptrdiff_t>(most));
}

// -- gossip ------------------------------------------------------------------------------------

void membership::queue_update(state::node_id subject)
{
    updates_.push(subject, table_.entries().size());
    gossip_due_ = true;
}

void membership::gossip_updates(state::time_point now, control_actions& actions)
{
    if (!gossip_due_ || now < last_gossip_ + gossip_interval)
    {
        return;
    }
    gossip_due_ = false;
    last_gossip_ = now;
    std::vector<state::member> to = random_members(zone_scope(), zone_gossip_fanout, random_);
    for (state::member const& each : random_members(fleet_scope(), fleet_gossip_fanout, random_))
    {
        if (std::find(to.begin(), to.end(), each) == to.end())
        {
            to.push_back(each);
        }
    }
    for (state::member const& each : to)
    {
        send(each.datagrams, peer_message{}, actions);
    }
}

void membership::add_page(peer_message& message, state::node_id after)
{
    std::size_t const remaining = peer_message::max_members - message.members.size();
    auto const page = table_.after(after, remaining);
    for (state::member_entry const& entry : page)
    {
        message.members.push_back(entry.info);
    }
    message.members_after = page.size() < remaining ? state::node_id{} : page.back().info.id;
}

void membership::piggyback(peer_message& message)
{
    message.sender = self_;
    message.digests.members = table_.digest();
    std::size_t const remaining = peer_message::max_members - message.members.size();
    for (state::node_id const subject : updates_.take(remaining))
    {
        if (state::member_entry const* const entry = table_.find(subject))
        {
            message.members.push_back(entry->info);
        }
    }
}

void membership::send(state::endpoint to, peer_message message, control_actions& actions)
{
    piggyback(message);
    actions.emplace_back(send_datagram{to, std::move(message)});
}

selection_scope membership::fleet_scope() const noexcept
{
    return {table_, self_.id, {}};
}

selection_scope membership::zone_scope() const noexcept
{
    return {table_, self_.id, self_.zone};
}

} // namespace plumdale::coordination
