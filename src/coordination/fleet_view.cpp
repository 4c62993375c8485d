#include <plumdale/coordination/fleet_view.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Seed of the ranks of readers, so that they differ from other ranks derived of the same ids.
constexpr std::uint64_t reader_ranks = 0x5ead;

std::uint64_t rank_of(state::node_id node) noexcept
{
    return state::mix(node.value, reader_ranks);
}

} // namespace

bool fleet_view::hear(fleet_news const& news, state::endpoint streams, std::uint64_t own_directory,
                      state::time_point now)
{
    if (news.sender == self_)
    {
        return false;
    }
    auto const [place, is_new] = peers_.try_emplace(news.sender);
    last_joined_ = is_new ? now : last_joined_;
    peer_state& peer = place->second;
    // Uptimes are numbered by the time of day, which may have stepped back: one that looks older
    // is believed once the other has been silent for longer than a datagram is under way.
    bool const is_past_uptime = news.uptime < peer.uptime && peer.heard + settling >= now;
    bool const is_old =
        is_past_uptime || (news.uptime == peer.uptime && news.sequence <= peer.sequence);
    if (is_old)
    {
        return false;
    }
    peer.uptime = news.uptime;
    peer.sequence = news.sequence;
    peer.streams = streams;
    peer.configuration = news.configuration;
    peer.directory = news.directory;
    peer.heard = now;
    constexpr std::uint32_t not_at_all = UINT32_MAX;
    peer.platform_read = news.platform_age_ms == not_at_all
                             ? state::time_point{}
                             : now - std::chrono::milliseconds{news.platform_age_ms};
    // One of this VM's former digests: the peer is behind, and the change is under way to it.
    bool const is_behind = own_digests_.contains(peer.directory);
    peer.differs_since = peer.directory == own_directory || is_behind
                             ? state::never
                             : std::min(peer.differs_since, now);
    note_reader(news, now);
    if (peers_.size() + 1 > most_live_)
    {
        most_live_ = std::max(most_live_, live(now));
    }
    return true;
}

// -- readers --------------------------------------------------------------------------------------

void fleet_view::note_reader(fleet_news const& news, state::time_point now)
{
    constexpr std::uint32_t not_at_all = UINT32_MAX;
    reader_state& reader = readers_[news.sender];
    reader.beat = std::max(reader.beat, news.beat);
    reader.lost = news.platform_age_ms == not_at_all;
    if (!reader.lost)
    {
        reader.read_at =
            std::max(reader.read_at, now - std::chrono::milliseconds{news.platform_age_ms});
    }
    reader.claimed = is_fresh(reader, now);
    for (reader_beat const& sighted : news.readers)
    {
        note_sighting(sighted, now);
    }
}

// Counted from when the greater beat was first heard of, and never from an age that was passed on:
// each passing on would make a dead reader look a little younger, and the fleet would keep it
// alive.
void fleet_view::note_sighting(reader_beat const& sighted, state::time_point now)
{
    reader_state& reader = readers_[sighted.reader];
    if (sighted.reader == self_ || sighted.beat <= reader.beat)
    {
        return;
    }
    reader.beat = sighted.beat;
    reader.read_at = now;
    reader.lost = false;
    reader.claimed = true;
}

bool fleet_view::is_fresh(reader_state const& reader, state::time_point now) const noexcept
{
    return !reader.lost && reader.read_at + stale_read + interval() >= now;
}

bool fleet_view::is_lost(state::node_id node) const
{
    auto const found = readers_.find(node);
    return found != readers_.end() && found->second.lost;
}

bool fleet_view::reads(state::node_id node, state::time_point now) const
{
    auto const found = readers_.find(node);
    return found != readers_.end() && is_fresh(found->second, now);
}

// One that said that it can't read will not, and one that said it reads and fell silent is what is
// to be replaced.
bool fleet_view::is_candidate(state::node_id node, peer_state const& peer,
                              state::time_point now) const
{
    auto const found = readers_.find(node);
    bool const is_out = found != readers_.end() && (found->second.lost || found->second.claimed);
    return is_live(peer, now) && rank_of(node) < rank_of(self_) && !is_out && !reads(node, now);
}

state::duration fleet_view::succession_delay(std::size_t reading, state::time_point now) const
{
    auto const before = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [this, now](auto const& each) { return is_candidate(each.first, each.second, now); }));
    std::size_t const failed_pairs = lost_before_ / readers;
    state::duration const pause =
        failed_pairs < 2 ? state::duration{}
                         : static_cast<std::int64_t>(failed_pairs - 1) * failed_pair_pause;
    std::size_t const wanted = readers - reading;
    if (before < wanted)
    {
        return pause;
    }
    state::duration const each = std::clamp<state::duration>(
        static_cast<std::int64_t>(most_live_) * succession_each, least_succession, most_succession);
    return pause + static_cast<std::int64_t>(before - wanted + 1) * each;
}

std::size_t fleet_view::lost_before(state::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [this, now](auto const& each)
                                                  {
                                                      return is_live(each.second, now) &&
                                                             is_lost(each.first) &&
                                                             rank_of(each.first) < rank_of(self_);
                                                  }));
}

// Were all to begin at the moment a reader is late, hundreds would read configuration and list
// within a few milliseconds of each other: the store turns them away, and what they pay for is
// known to one of them already. Those next in rank begin, and the others hear of their first read.
bool fleet_view::decide_duty(state::time_point now)
{
    auto const reading = static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [this, now](auto const& each)
        { return is_fresh(each.second, now) && rank_of(each.first) < rank_of(self_); }));
    if (reading >= readers)
    {
        lacking_since_ = state::never;
        lost_before_ = 0;
        reading_ = false;
        return false;
    }
    // Others have just been turned away: all that wait begin their wait anew, or a store that is
    // down for all would be asked by all.
    std::size_t const lost = lost_before(now);
    lacking_since_ = lost > lost_before_ ? now : std::min(lacking_since_, now);
    lost_before_ = lost;
    reading_ = reading_ ||
               (now >= volunteers_from_ && now >= lacking_since_ + succession_delay(reading, now));
    return reading_;
}

std::vector<reader_beat> fleet_view::reader_beats(state::time_point now) const
{
    std::vector<reader_beat> beats;
    for (auto const& [node, reader] : readers_)
    {
        if (reader.beat != 0 && is_fresh(reader, now))
        {
            beats.push_back({node, reader.beat});
        }
    }
    std::sort(beats.begin(), beats.end(),
              [](reader_beat const& a, reader_beat const& b)
              { return rank_of(a.reader) < rank_of(b.reader); });
    beats.resize(std::min(beats.size(), fleet_news::max_readers));
    return beats;
}

std::size_t fleet_view::lost_peers(state::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [this, now](auto const& each) {
                                                      return is_live(each.second, now) &&
                                                             is_lost(each.first);
                                                  }));
}

// -- the fleet ------------------------------------------------------------------------------------

void fleet_view::directory_changed(std::uint64_t own_directory, state::time_point /*now*/)
{
    own_digests_.add(own_directory);
    for (auto& [node, peer] : peers_)
    {
        if (peer.directory == own_directory)
        {
            peer.differs_since = state::never;
        }
    }
}

void fleet_view::forget_silent(state::time_point now)
{
    static constexpr state::duration remembered = std::chrono::minutes{2};
    std::erase_if(peers_, [now](auto const& each) { return each.second.heard + remembered < now; });
    // Kept as long, also those that were never heard from: forgotten at once, the next that passes
    // on their last beat would make them look as if they had just read.
    std::erase_if(readers_,
                  [now](auto const& each) { return each.second.read_at + remembered < now; });
}

bool fleet_view::is_live(peer_state const& peer, state::time_point now) const noexcept
{
    return peer.heard + silence() >= now;
}

state::duration fleet_view::interval() const noexcept
{
    return std::clamp(static_cast<std::int64_t>(most_live_) * interval_each, least_interval,
                      most_interval);
}

state::duration fleet_view::calm_interval() const noexcept
{
    return std::max(least_interval, static_cast<std::int64_t>(most_live_) * calm_interval_each);
}

state::duration fleet_view::silence() const noexcept
{
    return std::max<state::duration>(most_interval, calm_interval()) * 5 / 2;
}

// -- whom to ask ----------------------------------------------------------------------------------

// The peer of the greatest rank under this draw among those that fit.
template <class Fits>
std::optional<state::endpoint> fleet_view::drawn(std::uint64_t draw, Fits const& fits) const
{
    std::optional<state::endpoint> chosen;
    std::uint64_t best = 0;
    for (auto const& [node, peer] : peers_)
    {
        std::uint64_t const rank = state::mix(node.value, draw);
        if (fits(peer) && (!chosen || rank > best))
        {
            chosen = peer.streams;
            best = rank;
        }
    }
    return chosen;
}

std::optional<state::endpoint> fleet_view::newer_configuration(std::uint64_t version,
                                                               std::uint64_t draw,
                                                               state::time_point now) const
{
    return drawn(draw, [this, version, now](peer_state const& peer)
                 { return is_live(peer, now) && peer.configuration > version; });
}

// Two messages apart: by the second, what was under way with the first has arrived.
bool fleet_view::differs(peer_state const& peer) const noexcept
{
    return peer.differs_since != state::never && peer.differs_since + settling <= peer.heard;
}

// Of hundreds that lack something, each would ask one of the two readers; all peers that have the
// same as a reader can answer as well.
std::optional<state::endpoint> fleet_view::better_directory(std::uint64_t draw,
                                                            state::time_point now) const
{
    std::vector<std::uint64_t> wanted;
    for (auto const& [node, peer] : peers_)
    {
        if (is_live(peer, now) && reads(node, now) && differs(peer))
        {
            wanted.push_back(peer.directory);
        }
    }
    return drawn(draw,
                 [this, now, &wanted](peer_state const& peer)
                 {
                     bool const has_it =
                         std::find(wanted.begin(), wanted.end(), peer.directory) != wanted.end();
                     return has_it && is_live(peer, now);
                 });
}

std::optional<state::endpoint> fleet_view::informed_peer(std::uint64_t draw,
                                                         state::time_point now) const
{
    return drawn(draw, [this, now](peer_state const& peer)
                 { return is_live(peer, now) && peer.configuration != 0 && peer.directory != 0; });
}

std::size_t fleet_view::live(state::time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                      [this, now](auto const& each)
                                                      { return is_live(each.second, now); }));
}

state::time_point fleet_view::platform_read(state::time_point now) const
{
    state::time_point newest{};
    for (auto const& [node, peer] : peers_)
    {
        if (is_live(peer, now))
        {
            newest = std::max(newest, peer.platform_read);
        }
    }
    return newest;
}

} // namespace plumdale::coordination
