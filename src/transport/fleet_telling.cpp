#include "boot_clock.hpp"
#include "fleet_exchange.hpp"

#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/peer_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

// What this VM tells the others, and to whom; what it takes from them is in fleet_exchange.cpp.

namespace plumdale::transport
{
namespace
{

using namespace coordination;
using udp = net::ip::udp;
using boost::system::error_code;

// Of what is known, to one peer at a time: more would be a burst on its link.
constexpr std::size_t most_told_evidence = 4 * fleet_news::max_evidence;

std::uint32_t age_of(state::duration time)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX));
}

// Rows of a message as many as fit into a datagram.
template <class Row>
std::vector<std::span<Row const>> parts_of(std::span<Row const> rows, std::size_t most)
{
    std::vector<std::span<Row const>> parts;
    for (; !rows.empty(); rows = rows.subspan(parts.back().size()))
    {
        parts.push_back(rows.first(std::min(rows.size(), most)));
    }
    return parts;
}

} // namespace

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
    for (auto const part : parts_of(std::span{std::as_const(told)}, fleet_news::max_members))
    {
        fleet_news news;
        news.members.assign(part.begin(), part.end());
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
    for (auto const part : parts_of(std::span{std::as_const(told)}, fleet_news::max_evidence))
    {
        fleet_news news;
        news.evidence.assign(part.begin(), part.end());
        spread(news);
    }
}

void fleet_exchange::tell_limits()
{
    std::vector<state::stated_limit> const told = core_.limits.known().untold(boot_now());
    for (auto const part : parts_of(std::span{std::as_const(told)}, fleet_news::max_limits))
    {
        fleet_news news;
        news.limits.assign(part.begin(), part.end());
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

// One that has just started, was cut off or missed a datagram shows it by its digest.
void fleet_exchange::tell_differing(fleet_news const& heard, state::endpoint to)
{
    state::time_point const now = boot_now();
    evidence_answer const answer =
        evidence_.heard({core_.quarantine.known().digest(), heard.quarantine, heard.asks_evidence,
                         core_.fleet.peers().size(), core_.random()},
                        now);
    if (answer.asks)
    {
        fleet_news question = news_header();
        question.asks_evidence = true;
        send(question, std::array{to});
    }
    std::vector<request_evidence> known;
    if (answer.tells)
    {
        known = core_.quarantine.known().evidence(most_told_evidence, now);
    }
    for (auto const part : parts_of(std::span{std::as_const(known)}, fleet_news::max_evidence))
    {
        fleet_news news = news_header();
        news.evidence.assign(part.begin(), part.end());
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

} // namespace plumdale::transport
