#include "fleet_exchange.hpp"

#include "boot_clock.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/peer_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

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
// The first byte of a datagram says which codec reads the rest.
constexpr char members_mark = 'm';
constexpr char news_mark = 'n';
constexpr unsigned success = 200;
constexpr std::chrono::milliseconds peer_timeout{700};
// Members are found by probes and counted by their news, so probes need only keep the table: 3.7
// KB/s at this interval.
constexpr state::duration probe_interval = std::chrono::seconds{1};
// Between two questions for a directory: hundreds that lack the same ask at different moments.
constexpr state::duration directory_pause = std::chrono::milliseconds{200};
// Between two messages to peers that lack evidence, and how many VMs answer one of those on
// average.
constexpr state::duration evidence_pause = std::chrono::milliseconds{50};
constexpr std::size_t evidence_tellers = 3;
// Of what is known, to one peer at a time: more would be a burst on its link.
constexpr std::size_t most_told_evidence = 4 * fleet_news::max_evidence;
// Between two lines of how many peers are there.
constexpr state::duration live_line_pause = std::chrono::seconds{1};

// Grows from start to start unless the time of day steps back; peers allow for that.
state::incarnation this_uptime()
{
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wall).count())};
}

node_settings settings_of(protocol::forward_settings const& from, state::endpoint streams)
{
    node_settings settings;
    settings.self.id = state::named<state::node_id>(protocol::to_text(from.datagrams));
    settings.self.zone = state::named<state::zone_id>(from.zone);
    settings.self.uptime = this_uptime();
    settings.self.datagrams = from.datagrams;
    settings.self.streams = streams;
    settings.fleet_key = from.fleet_key;
    settings.seeds = from.seeds;
    settings.probe_interval = probe_interval;
    std::erase(settings.seeds, from.datagrams);
    return settings;
}

std::uint32_t age_of(state::duration time)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

} // namespace

fleet_exchange::fleet_exchange(forward_core& core, udp::socket socket, state::endpoint streams,
                               std::function<std::optional<state::time_point>()> last_read,
                               std::function<void(std::function<void()>)> read_store)
    : core_{core}, socket_{std::move(socket)},
      last_read_{std::move(last_read)}, settings_{settings_of(core.settings, streams)},
      members_{settings_, core.random()}, loads_{core.settings.load_news_bytes_per_second},
      configurations_{core,
                      {[this] { return offer_peers(); },
                       [this](std::string datagram, state::endpoint to)
                       { send(std::move(datagram), to); },
                       std::move(read_store)}}
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
    if (received_[0] == members_mark)
    {
        return take_peer_message(text, from);
    }
    if (received_[0] == configuration_exchange::mark)
    {
        return configurations_.take_offer(text, {from.address, settings_.self.streams.port});
    }
    auto const news = protocol::decode_fleet_news(text, settings_.fleet_key);
    if (received_[0] != news_mark || !news)
    {
        core_.metrics.add(forward_count::news_rejected);
        return;
    }
    core_.metrics.add(forward_count::news_received);
    take_news(news.value(), from);
}

void fleet_exchange::take_peer_message(std::span<char const> text, state::endpoint from)
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

void fleet_exchange::take_news(fleet_news const& news, state::endpoint from)
{
    core_.take_evacuations(news.evacuations, part);
    core_.quarantine.take(news.evidence);
    core_.limits.take(news.limits);
    take_members(news);
    state::time_point const now = boot_now();
    // All entry VMs use the same ports.
    state::endpoint const streams{from.address, settings_.self.streams.port};
    if (!core_.fleet.hear(news, streams, core_.directory.digest(), now))
    {
        return;
    }
    tell_differing(news, from);
    core_.ledger.take(news.sender, news.uptime, news.sequence, news.whole, news.loads, now);
    configurations_.heard_of(news.configuration);
}

// Whatever order messages come in: upstreams join by their revisions, and a part of the fleet waits
// for what is passed on from here.
void fleet_exchange::take_members(fleet_news const& news)
{
    std::size_t const untold = core_.untold.size();
    core_.take_members(news.members, part);
    // They reach the others as this did.
    core_.untold.resize(untold);
    pass_on(news);
}

// -- what is lacking ------------------------------------------------------------------------------

void fleet_exchange::spread_configuration()
{
    configurations_.spread();
}

std::string fleet_exchange::configuration_for(std::string_view target)
{
    return configurations_.answer_to(target);
}

void fleet_exchange::fetch_what_differs(state::time_point now)
{
    if (now < directory_fetch_at_)
    {
        return;
    }
    auto const peer = core_.has_list ? core_.fleet.better_directory(core_.random(), now)
                                     : core_.fleet.informed_peer(core_.random(), now);
    if (peer)
    {
        std::uniform_int_distribution<state::duration::rep> spread{directory_pause.count() / 2,
                                                                   directory_pause.count()};
        directory_fetch_at_ = now + state::duration{spread(core_.random)};
        fetch_directory(*peer);
    }
}

void fleet_exchange::fetch_directory(state::endpoint peer)
{
    if (std::exchange(fetching_directory_, true))
    {
        return;
    }
    fetch_request request;
    request.address = peer;
    request.target = directory_target;
    request.timeout = peer_timeout;
    // Who has a list lacks some rows of it; hundreds that fetched the whole list from one peer
    // filled its link for longer than any of them waited.
    if (core_.has_list)
    {
        request.method = "POST";
        request.body = protocol::encode(core_.directory.parts());
    }
    fetch(core_.context, std::move(request),
          [this, peer](state::result<fetch_answer> const& answer)
          {
              fetching_directory_ = false;
              auto const copy = answer && answer.value().status == success
                                    ? protocol::decode_directory_copy(answer.value().body)
                                    : state::result<directory_copy>{state::failure{}};
              if (!copy)
              {
                  core_.log.write(part, "peer gave no directory", {},
                                  {{"peer", protocol::to_text(peer)},
                                   {"detail", answer ? std::to_string(answer.value().status)
                                                     : answer.error().detail}});
                  return;
              }
              core_.take_evacuations(copy.value().evacuations, part);
              std::size_t const untold = core_.untold.size();
              copy.value().revision != 0
                  ? core_.take_list(copy.value().members, {}, copy.value().revision, part)
                  : core_.take_members(copy.value().members, part);
              core_.untold.resize(untold);
          });
}

// -- telling --------------------------------------------------------------------------------------

std::vector<offer_peer> fleet_exchange::offer_peers() const
{
    std::vector<offer_peer> peers;
    for (state::member_entry const& entry : members_.table().entries())
    {
        if (entry.info.id != settings_.self.id && entry.info.health != state::member_health::dead)
        {
            peers.push_back({entry.info.id, entry.info.datagrams});
        }
    }
    return peers;
}

std::vector<state::endpoint> fleet_exchange::audience() const
{
    std::vector<state::endpoint> peers;
    for (state::member_entry const& entry : members_.table().entries())
    {
        bool const listens =
            entry.info.id != settings_.self.id && entry.info.health != state::member_health::dead;
        if (listens)
        {
            peers.push_back(entry.info.datagrams);
        }
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

fleet_news fleet_exchange::news_header()
{
    auto const read = last_read_();
    fleet_news news;
    news.sender = settings_.self.id;
    news.uptime = settings_.self.uptime;
    news.configuration = core_.version();
    news.directory = core_.directory.digest();
    // A reader that lost the store says so, and another takes its place at once.
    news.platform_age_ms = read ? age_of(boot_now() - *read) : UINT32_MAX;
    // Counted on from the start's own number, so that it grows across starts.
    news.beat = core_.store_reads == 0 ? 0 : settings_.self.uptime.value + core_.store_reads;
    news.readers = core_.fleet.reader_beats(boot_now());
    news.quarantine = core_.quarantine.known().digest();
    return news;
}

// Upstreams and orders together would not fit in a datagram.
fleet_news fleet_exchange::news_with_orders()
{
    fleet_news news = news_header();
    news.evacuations = core_.directory.evacuations().known();
    return news;
}

// Rows beyond a datagram's bound go in further ones; only the first may clear what was told.
void fleet_exchange::tell_whole()
{
    std::vector<state::endpoint> const peers = audience();
    std::vector<member_load> const rows = core_.ledger.own_generations();
    std::size_t next = 0;
    do
    {
        fleet_news news = next == 0 ? news_with_orders() : news_header();
        std::size_t const count = std::min(rows.size() - next, fleet_news::max_loads);
        auto const begin = rows.begin() + static_cast<std::ptrdiff_t>(next);
        news.whole = next == 0;
        news.loads.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        next += count;
        note_told(news);
        send(news, peers);
    } while (next < rows.size());
}

void fleet_exchange::tell_standing()
{
    fleet_news news = news_with_orders();
    note_told(news);
    send(news, audience());
}

void fleet_exchange::note_told(fleet_news const& news)
{
    told_lost_ = news.platform_age_ms == UINT32_MAX;
    told_reads_ = core_.reads_store;
}

// From a reader's own link to hundreds, a burst of changes overflows it, and half of the fleet
// misses the same datagrams. Passed on, each VM sends it to a few.
void fleet_exchange::tell_members()
{
    std::vector<state::service_member> told = std::exchange(core_.untold, {});
    // Others' lists lagged by more or less than this one. Hundreds of VMs that each passed on a
    // list of thousands filled all links; there the readers tell what changed since.
    auto const of_start = std::exchange(core_.untold_of_start, {});
    if (offer_peers().size() <= most_direct)
    {
        told.insert(told.end(), of_start.begin(), of_start.end());
    }
    for (std::size_t next = 0; next < told.size(); next += fleet_news::max_members)
    {
        std::size_t const count = std::min(told.size() - next, fleet_news::max_members);
        auto const begin = told.begin() + static_cast<std::ptrdiff_t>(next);
        fleet_news news;
        news.members.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        spread(news);
    }
}

void fleet_exchange::spread_evacuations()
{
    fleet_news news;
    spread(news);
}

void fleet_exchange::tell_evidence()
{
    std::vector<request_evidence> const told = core_.quarantine.known().untold();
    for (std::size_t next = 0; next < told.size(); next += fleet_news::max_evidence)
    {
        std::size_t const count = std::min(told.size() - next, fleet_news::max_evidence);
        auto const begin = told.begin() + static_cast<std::ptrdiff_t>(next);
        fleet_news news;
        news.evidence.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        spread(news);
    }
}

void fleet_exchange::tell_limits()
{
    std::vector<state::stated_limit> const told = core_.limits.known().untold(boot_now());
    for (std::size_t next = 0; next < told.size(); next += fleet_news::max_limits)
    {
        std::size_t const count = std::min(told.size() - next, fleet_news::max_limits);
        auto const begin = told.begin() + static_cast<std::ptrdiff_t>(next);
        fleet_news news;
        news.limits.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        spread(news);
    }
}

// For those that missed what was told at once, or that were not there.
void fleet_exchange::tell_confirmed_limits()
{
    fleet_news news = news_header();
    news.limits = core_.limits.known().confirmed(fleet_news::max_limits, boot_now());
    if (!news.limits.empty())
    {
        send(news, audience());
    }
}

// One that has just started, was cut off or missed a datagram shows it by its digest, and a few of
// those that see it tell it. It tells them likewise what they lack.
void fleet_exchange::tell_differing(fleet_news const& heard, state::endpoint to)
{
    state::time_point const now = boot_now();
    bool const differs = heard.quarantine != core_.quarantine.known().digest();
    std::size_t const peers = core_.fleet.peers().size();
    std::uniform_int_distribution<std::size_t> draw{0, std::max<std::size_t>(peers, 1) - 1};
    if (!differs || now < differing_at_ || draw(core_.random) >= evidence_tellers)
    {
        return;
    }
    differing_at_ = now + evidence_pause;
    std::vector<request_evidence> const known =
        core_.quarantine.known().evidence(most_told_evidence, now);
    for (std::size_t next = 0; next < known.size(); next += fleet_news::max_evidence)
    {
        std::size_t const count = std::min(known.size() - next, fleet_news::max_evidence);
        auto const begin = known.begin() + static_cast<std::ptrdiff_t>(next);
        fleet_news news = news_header();
        news.evidence.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
        send(news, std::array{to});
    }
}

void fleet_exchange::spread(fleet_news& news)
{
    bool const is_direct = offer_peers().size() <= most_direct;
    news.range.origin = settings_.self.id;
    news.has_range = true;
    for (std::size_t tree = 0; tree < (is_direct ? 1 : usual_trees); ++tree)
    {
        news.spread = core_.random();
        pass_on(news);
    }
}

void fleet_exchange::pass_on(fleet_news const& from)
{
    if (!from.has_range)
    {
        return;
    }
    std::vector<offer_peer> const peers = offer_peers();
    for (spread_target const& target :
         targets_of(from.range, from.spread, peers, fan_out_for(peers.size())))
    {
        bool const has_rows =
            !from.members.empty() || !from.evidence.empty() || !from.limits.empty();
        fleet_news news = has_rows ? news_header() : news_with_orders();
        news.members = from.members;
        news.evidence = from.evidence;
        news.limits = from.limits;
        news.spread = from.spread;
        news.range = target.rest;
        news.has_range = target.has_rest;
        send(news, std::array{target.to});
    }
}

void fleet_exchange::tell_loads()
{
    std::vector<state::endpoint> const peers = audience();
    std::vector<state::member_key> const due = loads_.due(boot_now(), peers.size());
    if (due.empty())
    {
        return;
    }
    fleet_news news = news_header();
    for (state::member_key const member : due)
    {
        news.loads.push_back(core_.ledger.own(member));
    }
    send(news, peers);
}

void fleet_exchange::send(fleet_news& news, std::span<state::endpoint const> peers)
{
    news.sequence = ++sequence_;
    std::string const datagram =
        std::string(1, news_mark) + protocol::encode(news, settings_.fleet_key);
    for (state::endpoint const& peer : peers)
    {
        send(datagram, peer);
    }
}

void fleet_exchange::send(std::string datagram, state::endpoint to)
{
    core_.metrics.add(forward_count::news_sent);
    core_.metrics.add(forward_count::news_bytes, datagram.size());
    error_code ignored;
    // A datagram that finds no room is lost like any other; whole news follow.
    socket_.send_to(net::buffer(datagram), udp::endpoint{net::ip::address_v4{to.address}, to.port},
                    0, ignored);
}

void fleet_exchange::carry_out(control_actions const& actions)
{
    for (control_action const& action : actions)
    {
        if (auto const* const message = std::get_if<send_datagram>(&action))
        {
            send(std::string(1, members_mark) +
                     protocol::encode(message->message, settings_.fleet_key),
                 message->to);
        }
    }
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

void fleet_exchange::note_peers(state::time_point now)
{
    std::size_t const live = core_.fleet.live(now);
    if (live != live_ && live_told_ + live_line_pause <= now)
    {
        live_told_ = now;
        core_.log.write(part, live > live_ ? "peers joined" : "peers lost", {},
                        {{"live", static_cast<std::int64_t>(live)},
                         {"before", static_cast<std::int64_t>(live_)}});
        live_ = live;
    }
}

void fleet_exchange::advance()
{
    state::time_point const now = boot_now();
    advance_members();
    core_.ledger.forget_silent(now, core_.fleet.silence() + fleet_view::most_interval);
    core_.fleet.forget_silent(now);
    note_peers(now);
    fetch_what_differs(now);
    configurations_.advance();
    bool const lost = !last_read_();
    bool const begins_to_read = core_.reads_store && !told_reads_;
    bool const is_urgent = lost != told_lost_ || begins_to_read;
    tell_members();
    if (now >= whole_at_)
    {
        whole_at_ =
            now + (core_.fleet.is_reader() ? core_.fleet.interval() : core_.fleet.calm_interval());
        tell_whole();
        tell_confirmed_limits();
    }
    else if (is_urgent)
    {
        tell_standing();
    }
    tell_loads();
}

void fleet_exchange::tell_load(state::member_key member)
{
    loads_.changed(member);
    if (std::exchange(telling_, true))
    {
        return;
    }
    // Behind the events at hand: what they change goes along.
    net::post(core_.context,
              [this]
              {
                  telling_ = false;
                  tell_loads();
              });
}

void fleet_exchange::leave()
{
    members_.leave(boot_now());
}

} // namespace plumdale::transport
