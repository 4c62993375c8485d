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
constexpr unsigned success = 200;
constexpr std::chrono::milliseconds peer_timeout{700};
// Members are found by probes and counted by their news, so probes need only keep the table: 3.7
// KB/s at this interval.
constexpr state::duration probe_interval = std::chrono::seconds{1};
// Between two questions for a directory: hundreds that lack the same ask at different moments.
constexpr state::duration directory_pause = std::chrono::milliseconds{200};
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

void fleet_exchange::leave()
{
    members_.leave(boot_now());
}

} // namespace plumdale::transport
