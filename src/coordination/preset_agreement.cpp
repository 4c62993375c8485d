#include <plumdale/coordination/member_selection.hpp>
#include <plumdale/coordination/preset_agreement.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace plumdale::coordination
{
namespace
{

constexpr std::uint64_t reader_subject = 0x7265616465727321ULL;
constexpr std::size_t min_caught_up_peers = 2;
constexpr std::size_t polls_per_zone = 2;
constexpr state::duration poll_interval = std::chrono::milliseconds{100};
constexpr std::size_t max_pending_switches = 64;

} // namespace

preset_agreement::preset_agreement(node_settings const& settings, state::member const& self,
                                   state::member_table const& members, std::uint64_t seed)
    : settings_{settings}, self_{self}, members_{members}, exchange_{content_, self},
      reader_{settings, state::mix(seed, settings.self.id.value)}
{
}

// -- the service -------------------------------------------------------------------------------

void preset_agreement::handle(switch_published const& event, state::time_point /*now*/)
{
    state::preset_stamp stamp{event.revision, 0, 0, event.preset};
    bool const unseen_in_outage =
        switched_in_outage_ && stamp_.count > 0 && event.revision > stamp_.revision;
    if (unseen_in_outage && settings_.safeguards.has(safeguard::outage_switch))
    {
        // The service was unreachable when the operator switched, and this is its first answer
        // since: its revision was most likely published before the switch, but is greater and would
        // undo an accepted switch. The switch is therefore moved to that revision; whatever is
        // published from now on replaces it.
        stamp = stamp_;
        stamp.revision = event.revision;
    }
    merge_stamp(stamp);
}

void preset_agreement::handle(preset_published const& event, state::time_point /*now*/)
{
    std::string const key = "presets/" + event.content.name;
    put({make_ref(key, event.revision, event.text.get()), key, event.text, event.content});
}

void preset_agreement::handle(customers_published const& event, state::time_point /*now*/)
{
    put({make_ref("customers", event.revision, event.text.get()), "customers", event.text,
         event.customers});
}

void preset_agreement::handle(operators_published const& event, state::time_point /*now*/)
{
    put({make_ref("operators", event.revision, event.text.get()), "operators", event.text,
         event.operators});
}

void preset_agreement::handle(configuration_read const& event, state::time_point now)
{
    bool const was_reachable = reader_.reachable();
    reader_.finish(event.revision, now);
    switched_in_outage_ = false;
    version_ += was_reachable ? 0 : 1;
    if (!service_read_)
    {
        service_read_ = true;
        check_caught_up(now);
    }
}

void preset_agreement::handle(configuration_read_failed const& /*event*/, state::time_point now)
{
    version_ += reader_.reachable() ? 1 : 0;
    reader_.fail(now);
}

void preset_agreement::put(content_item item)
{
    state::content_ref const ref = item.ref;
    if (content_.put(std::move(item)))
    {
        exchange_.announce(ref, members_.entries().size());
        ++version_;
        update_pending_ = true;
        apply_stamp();
    }
}

void preset_agreement::merge_stamp(state::preset_stamp stamp)
{
    // Stamps are joined by maximum, so a stale read, a resumed node or a delayed datagram has no
    // effect. Replacing instead would undo a switch wherever an old copy arrives last.
    bool const joins = settings_.safeguards.has(safeguard::stamp_join);
    state::preset_stamp const next = joins ? state::join(stamp_, stamp) : stamp;
    if (next == stamp_ || !next)
    {
        return;
    }
    stamp_ = next;
    stamp_holders_.clear();
    switched_in_outage_ = stamp_.count > 0 && reader_.is_service_down();
    ++version_;
    update_pending_ = true;
    apply_stamp();
}

// A switch to a preset that is not held yet waits for its content; until then the previous preset
// stays in force, so that there is always exactly one.
void preset_agreement::apply_stamp()
{
    if (in_force_ != stamp_ && content_.find_preset(stamp_.preset) != nullptr)
    {
        in_force_ = stamp_;
        ++version_;
    }
}

// -- peers -------------------------------------------------------------------------------------

void preset_agreement::receive(peer_message const& message, bool marks_agree, state::time_point now)
{
    merge_stamp(message.stamp);
    exchange_.receive(
        message,
        [this](state::content_key key)
        { return is_responsible(members_, self_, key.value, 1, true); },
        now);
    if (message.stamp == stamp_ && stamp_holders_.size() < settings_.switch_holders)
    {
        stamp_holders_.insert(message.sender.id);
        ++version_;
    }
    for (pending_switch& each : pending_)
    {
        if (message.stamp >= each.stamp)
        {
            each.holders.insert(message.sender.id);
        }
    }
    // A peer that is itself catching up may know as little as this node.
    if (!caught_up_ && message.caught_up)
    {
        caught_up_peers_.insert(message.sender.id);
        bool const content_agrees = message.digests.content == content_.digest();
        peer_digests_match_ = peer_digests_match_ || (content_agrees && marks_agree);
        check_caught_up(now);
    }
}

void preset_agreement::handle(content_requested const& event, control_actions& actions) const
{
    exchange_.serve(event, actions);
}

void preset_agreement::handle(content_unavailable const& event, state::time_point now)
{
    exchange_.unavailable(event, now);
}

void preset_agreement::piggyback(peer_message& message, peer_message const* reply_to)
{
    message.caught_up = caught_up_;
    message.stamp = stamp_;
    message.digests.content = content_.digest();
    bool const differs = reply_to != nullptr && reply_to->digests.content != content_.digest();
    exchange_.piggyback(message, differs);
}

// -- catching up -------------------------------------------------------------------------------

bool preset_agreement::expects_peers() const noexcept
{
    bool const has_seeds =
        std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                    [this](state::endpoint seed) { return seed != self_.datagrams; });
    return has_seeds || members_.entries().size() > 1;
}

// A restarted node that relied on the service alone would put an older preset in force than its
// peers have, whenever the service is stale or an operator has switched without it. So it waits for
// messages of peers that serve. Only if too few arrive in time does it rely on the service alone
// or, after a pause, on what it knew before.
void preset_agreement::check_caught_up(state::time_point now)
{
    if (caught_up_ || !started_)
    {
        return;
    }
    bool const by_peers =
        peer_digests_match_ &&
        caught_up_peers_.size() >= std::min(min_caught_up_peers, members_.entries().size() - 1);
    bool const alone = now >= catch_up_ends_ || !expects_peers();
    bool const skipped = !settings_.safeguards.has(safeguard::catch_up);
    if (by_peers || ((alone || skipped) && (service_read_ || was_caught_up_)))
    {
        caught_up_ = true;
        was_caught_up_ = true;
        ++version_;
    }
}

void preset_agreement::resume_after_pause(state::time_point now)
{
    if (!settings_.safeguards.has(safeguard::pause_recheck))
    {
        return;
    }
    caught_up_ = false;
    service_read_ = false;
    peer_digests_match_ = false;
    caught_up_peers_.clear();
    catch_up_ends_ = now + settings_.catch_up_wait;
    reader_.resume_after_pause(now);
    ++version_;
}

bool preset_agreement::ready() const noexcept
{
    return caught_up_ && in_force_ && content_.customers() != nullptr;
}

// If a switch were lost with the one VM that holds it, engines already ordered for it would follow
// a preset that no VM has in force, under a fencing number that no other VM's orders reach.
bool preset_agreement::in_force_is_durable() const noexcept
{
    return in_force_.count == 0 ||
           (in_force_ == stamp_ && stamp_holders_.size() >= settings_.switch_holders);
}

// -- operators ---------------------------------------------------------------------------------

void preset_agreement::handle(operator_switch const& event, state::time_point now,
                              control_actions& actions)
{
    state::operator_account const* const account = content_.find_operator(event.key);
    auto const refuse = [&](switch_outcome outcome)
    {
        actions.emplace_back(answer_operator{event.exchange, {outcome, stamp_, {}, {}}});
    };
    if (!caught_up_)
    {
        return refuse(switch_outcome::not_ready);
    }
    if (account == nullptr || pending_.size() >= max_pending_switches)
    {
        return refuse(switch_outcome::not_allowed);
    }
    if (content_.find_preset(event.preset) == nullptr)
    {
        return refuse(switch_outcome::unknown_preset);
    }
    std::uint64_t const revision = std::max(stamp_.revision, event.over_revision);
    std::uint32_t const count = revision == stamp_.revision ? stamp_.count + 1 : 1;
    pending_switch pending{
        event.exchange, {revision, count, account->id.value, event.preset}, now, {}};
    merge_stamp(pending.stamp);
    pending_.push_back(std::move(pending));
    next_poll_at_ = now;
}

std::set<state::zone_id> preset_agreement::zones_of(std::set<state::node_id> const& ids) const
{
    std::set<state::zone_id> zones;
    for (state::node_id const id : ids)
    {
        if (state::member_entry const* const entry = members_.find(id))
        {
            zones.insert(entry->info.zone);
        }
    }
    return zones;
}

bool preset_agreement::has_enough_holders(pending_switch const& pending) const
{
    // A switch accepted while only this VM holds it would be lost with this VM, after the operator
    // was told that it is in force.
    if (!settings_.safeguards.has(safeguard::acceptance_count))
    {
        return true;
    }
    return pending.holders.size() >= settings_.switch_holders &&
           zones_of(pending.holders).size() >= settings_.switch_zones;
}

switch_answer preset_agreement::make_answer(pending_switch const& pending,
                                            switch_outcome outcome) const
{
    switch_answer answer{outcome, stamp_, {}, {}};
    answer.holders.assign(pending.holders.begin(), pending.holders.end());
    std::set<state::zone_id> const held = zones_of(pending.holders);
    std::set<state::zone_id> missing;
    for (state::member_entry const& entry : members_.entries())
    {
        state::member const& info = entry.info;
        if (info.id != self_.id && info.zone != self_.zone && held.count(info.zone) == 0)
        {
            missing.insert(info.zone);
        }
    }
    answer.zones_missing.assign(missing.begin(), missing.end());
    return answer;
}

void preset_agreement::resolve_switches(state::time_point now, control_actions& actions)
{
    auto const try_resolve = [&](pending_switch const& each)
    {
        state::duration const waited = now - each.received_at;
        switch_outcome outcome = switch_outcome::not_accepted;
        if (stamp_ != each.stamp)
        {
            outcome = switch_outcome::superseded;
        }
        else if (has_enough_holders(each) && waited >= settings_.switch_settle)
        {
            outcome = switch_outcome::accepted;
        }
        else if (waited < settings_.switch_wait)
        {
            return false;
        }
        actions.emplace_back(answer_operator{each.exchange, make_answer(each, outcome)});
        return true;
    };
    std::erase_if(pending_, try_resolve);
}

std::vector<state::member> preset_agreement::members_to_poll(state::time_point now)
{
    std::vector<state::member> result;
    if (pending_.empty() || now < next_poll_at_)
    {
        return result;
    }
    next_poll_at_ = now + poll_interval;
    std::map<state::zone_id, std::size_t> polled;
    std::set<state::node_id> const& holders = pending_.back().holders;
    for (state::member_entry const& entry : members_.entries())
    {
        state::member const& info = entry.info;
        bool const useful = info.id != self_.id && is_not_dead(info) && holders.count(info.id) == 0;
        if (useful && polled[info.zone]++ < polls_per_zone)
        {
            result.push_back(info);
        }
    }
    return result;
}

// -- time --------------------------------------------------------------------------------------

void preset_agreement::advance(state::time_point now, control_actions& actions)
{
    if (!started_)
    {
        started_ = true;
        catch_up_ends_ = now + settings_.catch_up_wait;
    }
    bool const is_reader =
        is_responsible(members_, self_, reader_subject, settings_.readers_per_zone, true);
    reader_.advance(is_reader, now, actions);
    exchange_.advance(now, actions);
    check_caught_up(now);
    resolve_switches(now, actions);
}

state::time_point preset_agreement::next_deadline() const noexcept
{
    state::time_point next = std::min(reader_.next_deadline(), exchange_.next_deadline());
    if (!caught_up_ && (service_read_ || was_caught_up_))
    {
        next = std::min(next, catch_up_ends_);
    }
    for (pending_switch const& each : pending_)
    {
        next = std::min({next, next_poll_at_, each.received_at + settings_.switch_wait});
    }
    return next;
}

bool preset_agreement::take_update_pending() noexcept
{
    return std::exchange(update_pending_, false);
}

} // namespace plumdale::coordination
