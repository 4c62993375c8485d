#include "fleet_exchange.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/peer_codec.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace plumdale::transport
{
namespace
{

using namespace coordination;
using udp = net::ip::udp;
using boost::system::error_code;

constexpr std::string_view part = "fleet";
// Probes find members and updates show which are live, so probes need only maintain the table: 3.7
// KB/s at this interval.
constexpr state::duration probe_interval = std::chrono::seconds{1};
// Time between two log lines on the number of live peers.
constexpr state::duration live_count_log_interval = std::chrono::seconds{1};
// Longest time before a VM reports that a part which a peer suspects is sound.
constexpr state::duration max_reply_delay = std::chrono::milliseconds{300};
constexpr state::duration reply_delay_per_peer = std::chrono::milliseconds{1};
// Even of two VMs one hears the other three times in this time.
constexpr state::duration max_silence = std::chrono::milliseconds{1'200};
// Time between two log lines on what was exchanged with peers.
constexpr state::duration traffic_log_interval = std::chrono::seconds{10};

// Grows with each start unless the wall clock steps back; peers allow for that.
state::incarnation new_incarnation()
{
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wall).count())};
}

node_settings make_node_settings(protocol::forward_settings const& from, state::endpoint streams)
{
    node_settings settings;
    settings.self.id = state::id_from_name<state::node_id>(protocol::to_text(from.datagrams));
    settings.self.zone = state::id_from_name<state::zone_id>(from.zone);
    settings.self.incarnation_number = new_incarnation();
    settings.self.datagrams = from.datagrams;
    settings.self.streams = streams;
    settings.fleet_key = from.fleet_key;
    settings.seeds = from.seeds;
    settings.probe_interval = probe_interval;
    std::erase(settings.seeds, from.datagrams);
    return settings;
}

} // namespace

fleet_exchange::fleet_exchange(forward_core& core, udp::socket socket, state::endpoint streams,
                               store_callbacks store)
    : core_{core}, socket_{std::move(socket)}, store_{std::move(store)},
      settings_{make_node_settings(core.settings, streams)}, members_{settings_, core.random()},
      loads_{core,
             members_.table(),
             {[this] { return make_update(); },
              [this](fleet_update& update, std::span<state::endpoint const> peers)
              { send(update, peers); },
              [this]
              {
                  return recipients();
              }}},
      configurations_{core,
                      {[this] { return broadcast_peers(); },
                       [this](std::string datagram, state::endpoint to)
                       { send(message_kind::configuration, std::move(datagram), to); },
                       store_.read_configuration}},
      directories_{core,
                   {store_.read_all,
                    [this](state::endpoint peer, vm_digests const& theirs)
                    {
                        apply_check(peer, theirs);
                    }}},
      speeds_{core}
{
}

void fleet_exchange::start()
{
    receive();
    advance();
}

// -- receiving ------------------------------------------------------------------------------------

void fleet_exchange::receive()
{
    socket_.async_receive_from(net::buffer(received_), sender_,
                               [this](error_code error, std::size_t bytes)
                               {
                                   if (error == net::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   if (!error)
                                   {
                                       on_datagram(bytes);
                                   }
                                   receive();
                               });
}

void fleet_exchange::on_datagram(std::size_t bytes)
{
    state::endpoint const from{sender_.address().to_v4().to_uint(), sender_.port()};
    if (bytes == 0)
    {
        return;
    }
    std::span<char const> const text{received_.data() + 1, bytes - 1};
    if (received_[0] == membership_tag)
    {
        core_.traffic.add_received(message_kind::membership, bytes);
        return receive_peer_message(text, from);
    }
    if (received_[0] == configuration_exchange::datagram_tag)
    {
        core_.traffic.add_received(message_kind::configuration, bytes);
        return configurations_.receive_offer(text, {from.address, settings_.self.streams.port});
    }
    auto const update = protocol::decode_fleet_update(text, settings_.fleet_key);
    if (received_[0] != update_tag || !update)
    {
        core_.metrics.add(forward_count::news_rejected);
        return;
    }
    core_.metrics.add(forward_count::news_received);
    core_.traffic.add_received(kind_of(update.value()), bytes);
    process_update(update.value(), from);
}

void fleet_exchange::receive_peer_message(std::span<char const> text, state::endpoint from)
{
    auto const message = protocol::decode_peer_message(text, settings_.fleet_key);
    if (!message)
    {
        core_.metrics.add(forward_count::news_rejected);
        return;
    }
    control_actions actions;
    members_.receive(from, message.value(), boot_now(), actions);
    carry_out(actions);
}

// Messages of that time are lost, whether this VM stood still, was cut off or had a full receive
// buffer; those that follow show only what digests show.
void fleet_exchange::note_heard(state::time_point now)
{
    state::duration const silence =
        heard_at_ == state::time_point{} ? state::duration{} : now - heard_at_;
    heard_at_ = now;
    if (silence > max_silence)
    {
        core_.metrics.add(forward_count::silences);
        core_.log.write(part, "heard no peer", {}, {{"ms", whole_milliseconds(silence)}});
        directories_.refresh(now);
    }
}

void fleet_exchange::resume_after_pause()
{
    directories_.refresh(boot_now());
}

void fleet_exchange::process_update(fleet_update const& update, state::endpoint from)
{
    core_.apply_evacuations(update.evacuations, part);
    core_.quarantine.apply_updates(update.evidence);
    core_.quarantine.apply_updates(update.parts, reply_delay());
    core_.limits.apply_updates(update.limits);
    core_.refusal_limits.apply_updates(update.refusal_limits);
    apply_findings(update);
    apply_members(update);
    state::time_point const now = boot_now();
    note_heard(now);
    // All entry VMs use the same ports.
    state::endpoint const streams{from.address, settings_.self.streams.port};
    if (!core_.fleet.apply_update(update, streams, core_.directory.digest(), now))
    {
        return;
    }
    exchange_evidence(update, from);
    core_.ledger.apply_update(update.sender, update.incarnation_number, update.sequence,
                              update.whole, update.loads, now);
    speeds_.apply_update(update, now);
    if (core_.parts.is_on(load_part::ranked_waiting))
    {
        core_.waiting.apply_update(update.sender, update.waiting, now);
    }
    configurations_.note_peer_version(update.configuration);
}

// Drawn by each VM, and longer in larger fleets, so that one reply reaches the others before
// theirs.
state::duration fleet_exchange::reply_delay()
{
    auto const peers = static_cast<std::int64_t>(core_.fleet.peers().size());
    auto const longest = std::min(max_reply_delay, peers * reply_delay_per_peer);
    return state::duration{
        std::uniform_int_distribution<std::int64_t>{0, longest.count()}(core_.random)};
}

// Messages may arrive in any order: upstreams are merged by their revisions, and a part of the
// fleet depends on what is forwarded from here.
void fleet_exchange::apply_members(fleet_update const& update)
{
    std::size_t const unreported = core_.unreported.size();
    core_.apply_members(update.members, part);
    // The other VMs receive them through the same broadcast, so they are not reported again.
    core_.unreported.resize(unreported);
    forward_update(update);
}

// Findings on a way along a tree are their origin's, not the forwarder's.
void fleet_exchange::apply_findings(fleet_update const& update)
{
    state::member_entry const* const origin = members_.table().find(update.range.origin);
    if (core_.hints.suspicions != nullptr && origin != nullptr)
    {
        core_.suspicions.apply_update(origin->info.id, origin->info.zone, update.suspicions,
                                      boot_now());
        core_.zones.apply_update(origin->info.id, origin->info.zone, update.zone_reach, boot_now());
    }
}

// -- fetching from peers --------------------------------------------------------------------------

void fleet_exchange::broadcast_configuration()
{
    configurations_.broadcast();
}

std::string fleet_exchange::configuration_for(std::string_view target)
{
    return configurations_.answer_to(target);
}

std::string fleet_exchange::answer_to_check() const
{
    return directories_.answer_to_check();
}

// Datagrams show the same, unless they are lost.
void fleet_exchange::apply_check(state::endpoint peer, vm_digests const& theirs)
{
    configurations_.note_peer_version(theirs.configuration);
    if (theirs.quarantine != core_.quarantine.known().digest())
    {
        ask_for_evidence({peer.address, settings_.self.datagrams.port});
    }
}

std::string fleet_exchange::directory_for(std::string_view request_body)
{
    return directories_.answer_to(request_body);
}

// -- time -----------------------------------------------------------------------------------------

void fleet_exchange::advance_members()
{
    state::time_point const now = boot_now();
    if (now >= members_.next_deadline())
    {
        control_actions actions;
        members_.advance(now, actions);
        carry_out(actions);
    }
}

void fleet_exchange::advance_suspicions(state::time_point now)
{
    if (core_.hints.suspicions == nullptr)
    {
        return;
    }
    core_.zones.advance(now);
    core_.advance_zones(now);
    core_.log_suspicions(now);
    core_.suspicions.sweep(now);
    if (core_.reach.is_lost())
    {
        return;
    }
    std::vector<zoned_vm> const peers =
        core_.suspicions.empty() ? std::vector<zoned_vm>{} : zoned_peers();
    for (state::member_key const member : core_.suspicions.take_due_probes(peers, now))
    {
        core_.prober.probe_suspect(member);
    }
    announce_suspicions();
}

void fleet_exchange::log_live_peers(state::time_point now)
{
    std::size_t const live_count = core_.fleet.live_count(now);
    if (live_count != logged_live_count_ && live_count_logged_at_ + live_count_log_interval <= now)
    {
        live_count_logged_at_ = now;
        core_.log.write(part, live_count > logged_live_count_ ? "peers joined" : "peers lost", {},
                        {{"live", static_cast<std::int64_t>(live_count)},
                         {"before", static_cast<std::int64_t>(logged_live_count_)}});
        logged_live_count_ = live_count;
    }
}

void fleet_exchange::log_traffic(state::time_point now)
{
    if (traffic_logged_at_ + traffic_log_interval <= now)
    {
        traffic_logged_at_ = now;
        core_.log.write(part, "traffic", {}, {{"bytes_sent_received", core_.traffic.summary()}});
    }
}

void fleet_exchange::advance()
{
    state::time_point const now = boot_now();
    advance_members();
    core_.ledger.forget_silent(now, core_.fleet.silence_timeout() + fleet_view::max_interval);
    core_.fleet.forget_silent(now);
    log_live_peers(now);
    log_traffic(now);
    speeds_.advance(now);
    directories_.advance(now);
    configurations_.advance();
    bool const store_lost = !store_.last_read();
    bool const became_reader = core_.is_active_reader && !announced_is_reader_;
    bool const is_urgent = store_lost != announced_store_lost_ || became_reader;
    announce_members();
    advance_suspicions(now);
    announce_waiting(now);
    if (now >= next_full_update_at_)
    {
        next_full_update_at_ = now + (core_.fleet.is_reader() ? core_.fleet.reader_interval()
                                                              : core_.fleet.follower_interval());
        send_full_update();
        send_confirmed_limits();
    }
    else if (is_urgent)
    {
        send_status();
    }
    loads_.advance();
}

void fleet_exchange::leave()
{
    members_.leave(boot_now());
}

} // namespace plumdale::transport
