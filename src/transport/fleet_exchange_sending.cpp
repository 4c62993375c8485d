#include "boot_clock.hpp"
#include "fleet_exchange.hpp"

#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/peer_codec.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

// What this VM sends to its peers; fleet_exchange.cpp applies what it receives from them.

namespace plumdale::transport
{
namespace
{

using namespace coordination;
using udp = net::ip::udp;
using boost::system::error_code;

// Most evidence sent to one peer at a time: more would be a burst on its link.
constexpr std::size_t max_sent_evidence = 4 * fleet_update::max_evidence;

std::uint32_t age_in_ms(state::duration time)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

// Splits the rows of a message into parts that each fit into a datagram.
template <class Row>
std::vector<std::span<Row const>> split_rows(std::span<Row const> rows, std::size_t max_rows)
{
    std::vector<std::span<Row const>> parts;
    for (; !rows.empty(); rows = rows.subspan(parts.back().size()))
    {
        parts.push_back(rows.first(std::min(rows.size(), max_rows)));
    }
    return parts;
}

} // namespace

// -- sending --------------------------------------------------------------------------------------

std::vector<broadcast_peer> fleet_exchange::broadcast_peers() const
{
    std::vector<broadcast_peer> peers;
    for (state::member_entry const& entry : members_.table().entries())
    {
        if (entry.info.id != settings_.self.id && entry.info.health != state::member_health::dead)
        {
            peers.push_back({entry.info.id, entry.info.datagrams});
        }
    }
    return peers;
}

std::vector<state::endpoint> fleet_exchange::recipients() const
{
    std::vector<state::endpoint> peers;
    for (broadcast_peer const& peer : broadcast_peers())
    {
        peers.push_back(peer.datagrams);
    }
    for (state::endpoint const& seed : settings_.seeds)
    {
        if (std::find(peers.begin(), peers.end(), seed) == peers.end())
        {
            peers.push_back(seed);
        }
    }
    return peers;
}

fleet_update fleet_exchange::make_update()
{
    auto const read = store_.last_read();
    fleet_update update;
    update.sender = settings_.self.id;
    update.incarnation_number = settings_.self.incarnation_number;
    update.configuration = core_.version();
    update.directory = core_.directory.digest();
    update.directory_version = core_.fleet.directory_version();
    // A reader that lost the store reports it, and another replaces it at once.
    update.platform_age_ms = read ? age_in_ms(boot_now() - *read) : UINT32_MAX;
    // Starts at the incarnation's number, so that it also grows across restarts.
    update.heartbeat =
        core_.store_reads == 0 ? 0 : settings_.self.incarnation_number.value + core_.store_reads;
    update.readers = core_.fleet.reader_heartbeats(boot_now());
    update.quarantine = core_.quarantine.known().digest();
    // Rides in every message: one without rows says that no call waits here.
    if (core_.parts.is_on(load_part::ranked_waiting))
    {
        update.waiting = core_.waiting.own_rows(boot_now());
        update.waiting.resize(std::min(update.waiting.size(), fleet_update::max_waiting));
    }
    return update;
}

// Upstreams and orders together would not fit in a datagram.
fleet_update fleet_exchange::make_update_with_orders()
{
    fleet_update update = make_update();
    update.evacuations = core_.directory.evacuations().known();
    return update;
}

// Rows beyond a datagram's limit go into further ones; only the first may clear the rows sent
// before.
void fleet_exchange::send_full_update()
{
    std::vector<state::endpoint> const peers = recipients();
    std::vector<member_load> const rows = core_.ledger.own_generations();
    std::size_t next = 0;
    do
    {
        fleet_update update = next == 0 ? make_update_with_orders() : make_update();
        std::size_t const count = std::min(rows.size() - next, fleet_update::max_loads);
        auto const begin = rows.begin() + static_cast<std::ptrdiff_t>(next);
        update.whole = next == 0;
        update.loads.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        if (update.whole)
        {
            speeds_.add_rows(update, boot_now());
        }
        next += count;
        record_sent_status(update);
        send(update, peers);
    } while (next < rows.size());
}

void fleet_exchange::send_status()
{
    fleet_update update = make_update_with_orders();
    record_sent_status(update);
    send(update, recipients());
}

void fleet_exchange::record_sent_status(fleet_update const& update)
{
    announced_store_lost_ = update.platform_age_ms == UINT32_MAX;
    announced_is_reader_ = core_.is_active_reader;
}

// A burst of changes sent by a reader to hundreds of VMs overflows its link, and half of the fleet
// misses the same datagrams. With forwarding, each VM sends to a few.
void fleet_exchange::announce_members()
{
    std::vector<state::service_member> unreported = std::exchange(core_.unreported, {});
    // The lists that other VMs read at their start lagged by more or less than this one. Hundreds
    // of VMs that each forwarded a list of thousands filled all links; in large fleets the readers
    // report what changed since.
    auto const at_start = std::exchange(core_.unreported_at_start, {});
    if (broadcast_peers().size() <= max_direct_peers)
    {
        unreported.insert(unreported.end(), at_start.begin(), at_start.end());
    }
    for (auto const part :
         split_rows(std::span{std::as_const(unreported)}, fleet_update::max_members))
    {
        fleet_update update;
        update.members.assign(part.begin(), part.end());
        broadcast(update);
    }
}

// Peers whose calls go after a waiting one must know of it before they take what it waits for.
void fleet_exchange::announce_waiting(state::time_point now)
{
    bool const is_on = core_.parts.is_on(load_part::ranked_waiting);
    core_.waiting.forget_old(now);
    if (is_on && core_.waiting.take_announcement(core_.fleet.peers().size(), now))
    {
        fleet_update update = make_update();
        send(update, recipients());
    }
}

void fleet_exchange::broadcast_evacuations()
{
    fleet_update update;
    broadcast(update);
}

void fleet_exchange::announce_evidence()
{
    std::vector<request_evidence> const unreported = core_.quarantine.known().requests.unreported();
    for (auto const rows :
         split_rows(std::span{std::as_const(unreported)}, fleet_update::max_evidence))
    {
        fleet_update update;
        update.evidence.assign(rows.begin(), rows.end());
        broadcast(update);
    }
    std::vector<part_evidence> const parts =
        core_.quarantine.known().prompts.unreported(boot_now());
    for (auto const rows :
         split_rows(std::span{std::as_const(parts)}, fleet_update::max_part_evidence))
    {
        fleet_update update;
        update.parts.assign(rows.begin(), rows.end());
        broadcast(update);
    }
}

void fleet_exchange::announce_limits()
{
    broadcast_limits(core_.limits, &fleet_update::limits);
    broadcast_limits(core_.refusal_limits, &fleet_update::refusal_limits);
}

std::vector<zoned_vm> fleet_exchange::zoned_peers() const
{
    std::vector<zoned_vm> peers;
    for (state::member_entry const& entry : members_.table().entries())
    {
        if (entry.info.id != settings_.self.id && entry.info.health == state::member_health::alive)
        {
            peers.push_back({entry.info.id, entry.info.zone});
        }
    }
    return peers;
}

void fleet_exchange::announce_suspicions()
{
    if (core_.hints.suspicions == nullptr || core_.reach.is_lost())
    {
        return;
    }
    std::vector<suspicion_row> const unreported = core_.suspicions.unreported(boot_now());
    for (auto const part :
         split_rows(std::span{std::as_const(unreported)}, fleet_update::max_suspicions))
    {
        fleet_update update;
        update.suspicions.assign(part.begin(), part.end());
        broadcast(update);
    }
    fleet_update update;
    update.zone_reach = core_.zones.unreported(boot_now());
    if (!update.zone_reach.empty())
    {
        update.zone_reach.resize(std::min(update.zone_reach.size(), fleet_update::max_zones));
        broadcast(update);
    }
}

void fleet_exchange::broadcast_limits(limit_tracker& limits,
                                      std::vector<state::stated_limit> fleet_update::*rows)
{
    std::vector<state::stated_limit> const unreported = limits.known().unreported(boot_now());
    for (auto const part :
         split_rows(std::span{std::as_const(unreported)}, fleet_update::max_limits))
    {
        fleet_update update;
        (update.*rows).assign(part.begin(), part.end());
        broadcast(update);
    }
}

// For peers that missed the announcement or joined after it.
void fleet_exchange::send_confirmed_limits()
{
    fleet_update update = make_update();
    state::time_point const now = boot_now();
    update.limits = core_.limits.known().confirmed(fleet_update::max_limits, now);
    // Both kinds fit into one datagram.
    update.refusal_limits = core_.refusal_limits.known().confirmed(
        fleet_update::max_limits - update.limits.size(), now);
    if (!update.limits.empty() || !update.refusal_limits.empty())
    {
        send(update, recipients());
    }
}

// The digest of a peer that has just started, was cut off or missed a datagram differs.
void fleet_exchange::exchange_evidence(fleet_update const& received, state::endpoint to)
{
    state::time_point const now = boot_now();
    evidence_answer const answer =
        evidence_.received({core_.quarantine.known().digest(), received.quarantine,
                            received.requests_evidence, core_.fleet.peers().size(), core_.random()},
                           now);
    if (answer.should_request)
    {
        ask_for_evidence(to);
    }
    if (answer.should_send)
    {
        send_evidence(to, now);
    }
}

void fleet_exchange::ask_for_evidence(state::endpoint peer)
{
    fleet_update request = make_update();
    request.requests_evidence = true;
    send(request, std::array{peer});
}

void fleet_exchange::send_evidence(state::endpoint to, state::time_point now)
{
    std::vector<request_evidence> const known =
        core_.quarantine.known().requests.evidence(max_sent_evidence, now);
    for (auto const rows : split_rows(std::span{known}, fleet_update::max_evidence))
    {
        fleet_update update = make_update();
        update.evidence.assign(rows.begin(), rows.end());
        send(update, std::array{to});
    }
    std::vector<part_evidence> const parts =
        core_.quarantine.known().prompts.evidence(max_sent_evidence, now);
    for (auto const rows : split_rows(std::span{parts}, fleet_update::max_part_evidence))
    {
        fleet_update update = make_update();
        update.parts.assign(rows.begin(), rows.end());
        send(update, std::array{to});
    }
}

void fleet_exchange::broadcast(fleet_update& update)
{
    bool const is_direct = broadcast_peers().size() <= max_direct_peers;
    update.range.origin = settings_.self.id;
    update.has_range = true;
    for (std::size_t tree = 0; tree < (is_direct ? 1 : trees_per_message); ++tree)
    {
        update.broadcast_id = core_.random();
        forward_update(update);
    }
}

void fleet_exchange::forward_update(fleet_update const& from)
{
    if (!from.has_range)
    {
        return;
    }
    std::vector<broadcast_peer> const peers = broadcast_peers();
    for (broadcast_target const& target :
         targets_of(from.range, from.broadcast_id, peers, fan_out_for(peers.size())))
    {
        bool const has_rows = !from.members.empty() || !from.evidence.empty() ||
                              !from.parts.empty() || !from.limits.empty() ||
                              !from.refusal_limits.empty() || !from.suspicions.empty() ||
                              !from.zone_reach.empty();
        fleet_update update = has_rows ? make_update() : make_update_with_orders();
        update.members = from.members;
        update.evidence = from.evidence;
        update.parts = from.parts;
        update.limits = from.limits;
        update.refusal_limits = from.refusal_limits;
        update.suspicions = from.suspicions;
        update.zone_reach = from.zone_reach;
        update.broadcast_id = from.broadcast_id;
        update.range = target.subrange;
        update.has_range = target.has_subrange;
        send(update, std::array{target.to});
    }
}

void fleet_exchange::send(fleet_update& update, std::span<state::endpoint const> peers)
{
    update.sequence = ++sequence_;
    std::string const datagram =
        std::string(1, update_tag) + protocol::encode(update, settings_.fleet_key);
    message_kind const kind = kind_of(update);
    for (state::endpoint const& peer : peers)
    {
        send(kind, datagram, peer);
    }
}

void fleet_exchange::send(message_kind kind, std::string datagram, state::endpoint to)
{
    core_.traffic.add_sent(kind, datagram.size());
    core_.metrics.add(forward_count::news_sent);
    core_.metrics.add(forward_count::news_bytes, datagram.size());
    error_code ignored;
    // A datagram that finds no buffer space is lost like any other; full updates follow.
    socket_.send_to(net::buffer(datagram), udp::endpoint{net::ip::address_v4{to.address}, to.port},
                    0, ignored);
}

void fleet_exchange::carry_out(control_actions const& actions)
{
    for (control_action const& action : actions)
    {
        if (auto const* const message = std::get_if<send_datagram>(&action))
        {
            send(message_kind::membership,
                 std::string(1, membership_tag) +
                     protocol::encode(message->message, settings_.fleet_key),
                 message->to);
        }
    }
}

void fleet_exchange::announce_load(state::member_key member)
{
    loads_.announce(member);
}

} // namespace plumdale::transport
