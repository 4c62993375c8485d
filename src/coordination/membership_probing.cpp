#include <plumdale/coordination/membership.hpp>

#include <algorithm>
#include <utility>

// The failure detector's rounds: which members this node probes, and how it answers probes.

namespace plumdale::coordination
{
namespace
{

using state::member_health;

// Each member is probed by this many of its zone, so that a zone that is cut off detects its own
// failures.
constexpr std::size_t zone_probe_targets = 2;
constexpr std::size_t fleet_probe_targets = 1;
constexpr std::size_t random_probe_targets = 1;
constexpr std::size_t indirect_probers = 3;
constexpr std::size_t max_relayed_probes = 64;
constexpr std::size_t candidates_when_isolated = 8;
constexpr std::uint64_t rounds_per_candidate_ping = 4;
constexpr state::duration catching_up_interval = std::chrono::milliseconds{100};
constexpr std::uint32_t mismatches_to_sync = 16;
constexpr std::uint64_t fleet_ring = 0x666c656574ULL;

} // namespace

// -- probing -----------------------------------------------------------------------------------

void membership::begin_round(state::time_point now, control_actions& actions)
{
    ++round_;
    is_fast_round_ = catching_up(now);
    page_sequence_ = 0;
    choose_targets();
    for (probe const& each : probes_)
    {
        ping(each.address, each.target, each.sequence, actions);
    }
    ping_candidates(actions);
    indirect_probe_at_ = is_fast_round_ ? state::never : now + settings_.probe_timeout;
    next_round_at_ =
        now + with_jitter(is_fast_round_ ? catching_up_interval : settings_.probe_interval);
}

// Jitter keeps nodes that started together from probing in step.
state::duration membership::with_jitter(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> distribution{time.count() * 9 / 10,
                                                                     time.count() * 11 / 10};
    return state::duration{distribution(random_)};
}

void membership::end_round(state::time_point now)
{
    for (probe const& each : probes_)
    {
        state::member_entry* const entry = table_.find(each.target);
        // Fast rounds are too short to tell a missing answer from a delayed one.
        if (entry == nullptr || !is_not_dead(entry->info) || is_fast_round_)
        {
            continue;
        }
        entry->failed_rounds = each.answered ? 0 : entry->failed_rounds + 1;
        if (entry->failed_rounds >= failed_rounds_to_suspect)
        {
            suspect(*entry, now);
        }
    }
    probes_.clear();
}

void membership::choose_targets()
{
    for (state::node_id const id :
         ring_successors(zone_scope(), self_.zone.value, zone_probe_targets))
    {
        add_target(id);
    }
    std::size_t const fleet_target_count =
        zone_probe_targets - probes_.size() + fleet_probe_targets;
    for (state::node_id const id : ring_successors(fleet_scope(), fleet_ring, fleet_target_count))
    {
        add_target(id);
    }
    for (state::member const& each : random_members(fleet_scope(), random_probe_targets, random_))
    {
        add_target(each.id);
    }
}

void membership::add_target(state::node_id id)
{
    state::member_entry const* const entry = table_.find(id);
    bool const chosen = std::any_of(probes_.begin(), probes_.end(),
                                    [id](probe const& each) { return each.target == id; });
    if (entry != nullptr && !chosen)
    {
        probes_.push_back({id, entry->info.datagrams, next_sequence_++, false});
    }
}

void membership::ping(state::endpoint to, state::node_id target, std::uint64_t sequence,
                      control_actions& actions)
{
    peer_message message;
    message.kind = peer_message_kind::ping;
    message.sequence = sequence;
    message.target = target;
    message.members_after = page_after_;
    state::member_entry const* const entry = table_.find(target);
    if (entry != nullptr && entry->info.health == member_health::suspect)
    {
        // A member can refute a suspicion only once it has received it.
        message.members.push_back(entry->info);
    }
    send(to, std::move(message), actions);
}

void membership::poll(state::member const& member, control_actions& actions)
{
    ping(member.datagrams, member.id, next_sequence_++, actions);
}

// Pings endpoints without a known live member: seeds, the platform's list and dead members. Through
// these, two halves of the fleet that declared each other dead merge again.
void membership::ping_candidates(control_actions& actions)
{
    bool const is_isolated = random_members(fleet_scope(), 1, random_).empty();
    if (!is_isolated && round_ % rounds_per_candidate_ping != 0)
    {
        return;
    }
    std::vector<state::endpoint> unknown = unknown_endpoints();
    std::shuffle(unknown.begin(), unknown.end(), random_);
    unknown.resize(std::min(unknown.size(), is_isolated ? candidates_when_isolated : 1));
    for (state::endpoint const at : unknown)
    {
        ping(at, {}, next_sequence_++, actions);
    }
}

std::vector<state::endpoint> membership::unknown_endpoints() const
{
    std::vector<state::endpoint> unknown = candidates_;
    std::vector<state::endpoint> known{self_.datagrams};
    for (state::member_entry const& entry : table_.entries())
    {
        (is_not_dead(entry.info) ? known : unknown).push_back(entry.info.datagrams);
    }
    std::sort(known.begin(), known.end());
    std::erase_if(unknown, [&known](state::endpoint at)
                  { return std::binary_search(known.begin(), known.end(), at); });
    return unknown;
}

// Sends a second direct probe and some through other members: a lost datagram or a broken path
// between two nodes does not mean that the node is dead.
void membership::probe_indirectly(control_actions& actions)
{
    for (probe const& each : probes_)
    {
        if (each.answered)
        {
            continue;
        }
        ping(each.address, each.target, each.sequence, actions);
        for (state::member const& helper : random_members(fleet_scope(), indirect_probers, random_))
        {
            peer_message request;
            request.kind = peer_message_kind::ping_request;
            request.sequence = each.sequence;
            request.target = each.target;
            request.target_address = each.address;
            send(helper.datagrams, std::move(request), actions);
        }
    }
}

// -- answers ------------------------------------------------------------------------------------

void membership::answer_ping(state::endpoint from, peer_message const& message,
                             control_actions& actions)
{
    peer_message ack;
    ack.kind = peer_message_kind::ack;
    ack.sequence = message.sequence;
    ack.target = self_.id;
    state::member_entry const* const known = table_.find(message.sender.id);
    if (known != nullptr && known->info != message.sender)
    {
        // The table has the sender as suspect, dead or replaced: it has to know, to refute or stop.
        ack.members.push_back(known->info);
    }
    if (message.digests.members != table_.digest())
    {
        add_page(ack, message.members_after);
    }
    send(from, std::move(ack), actions);
}

void membership::relay_ping(state::endpoint from, peer_message const& message,
                            control_actions& actions)
{
    if (relayed_probes_.size() >= max_relayed_probes)
    {
        relayed_probes_.erase(relayed_probes_.begin());
    }
    relayed_probes_.push_back({next_sequence_, from, message.sequence, message.target});
    ping(message.target_address, message.target, next_sequence_++, actions);
}

void membership::receive_ack(state::endpoint from, peer_message const& message,
                             state::time_point now, control_actions& actions)
{
    for (probe& each : probes_)
    {
        // The target is compared too: another VM may have been given the address and answer from
        // there.
        if (each.sequence == message.sequence && each.target == message.target)
        {
            each.answered = true;
        }
    }
    relay_ack(message, actions);
    digests_match_ = message.digests.members == table_.digest();
    digest_mismatches_ = digests_match_ ? 0 : digest_mismatches_ + 1;
    page_after_ = message.members_after;
    request_next_page(from, message, now, actions);
}

void membership::relay_ack(peer_message const& message, control_actions& actions)
{
    auto const relayed =
        std::find_if(relayed_probes_.begin(), relayed_probes_.end(),
                     [&message](relayed_probe const& each) {
                         return each.sequence == message.sequence && each.target == message.target;
                     });
    if (relayed == relayed_probes_.end())
    {
        return;
    }
    peer_message ack;
    ack.kind = peer_message_kind::ack;
    ack.sequence = relayed->requester_sequence;
    ack.target = relayed->target;
    send(relayed->requester, std::move(ack), actions);
    relayed_probes_.erase(relayed);
}

// Requests page after page, from one peer at a time, if this node has just started or if tables
// have differed for longer than updates take to spread.
void membership::request_next_page(state::endpoint from, peer_message const& message,
                                   state::time_point now, control_actions& actions)
{
    bool const wanted = catching_up(now) || digest_mismatches_ >= mismatches_to_sync;
    bool const in_turn = page_sequence_ == 0 || page_sequence_ == message.sequence;
    if (digests_match_ || !wanted || !in_turn || !message.members_after)
    {
        return;
    }
    page_sequence_ = next_sequence_++;
    ping(from, message.sender.id, page_sequence_, actions);
}

} // namespace plumdale::coordination
