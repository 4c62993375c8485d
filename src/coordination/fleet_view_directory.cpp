#include <plumdale/coordination/fleet_view.hpp>

#include <algorithm>

// How a VM compares its directory with those of its peers, and whom it asks for what it lacks;
// fleet_view.cpp has the readers and which peers are live.

namespace plumdale::coordination
{
namespace
{

void agree(peer_state& peer) noexcept
{
    peer.agreed_version = peer.directory_version;
    peer.unequal_since = state::never;
    peer.differs_since = state::never;
}

} // namespace

// -- comparing ------------------------------------------------------------------------------------

void fleet_view::directory_changed(std::uint64_t own_digest, state::time_point now)
{
    own_digests_.add(own_digest, now);
    ++directory_version_;
    for (auto& [node, peer] : peers_)
    {
        if (peer.directory == own_digest)
        {
            agree(peer);
            note_agreement();
        }
    }
}

// A peer that is behind has nothing that this VM lacks. It is, if it agreed with this VM and hasn't
// changed since, or if its directory was this VM's a moment ago. A digest of former times alone
// says nothing: an upstream that joins and leaves takes a directory back to the digest before, and
// a VM that missed the leaving would send calls there for good.
void fleet_view::compare_directory(peer_state& peer, std::uint64_t own_digest,
                                   state::time_point now)
{
    if (peer.directory == own_digest)
    {
        note_agreement();
        return agree(peer);
    }
    peer.unequal_since = std::min(peer.unequal_since, now);
    bool const is_unchanged =
        peer.directory_version != 0 && peer.directory_version == peer.agreed_version;
    auto const left_at = own_digests_.left_at(peer.directory);
    bool const is_in_flight = left_at && *left_at + propagation_time > now;
    if (is_in_flight)
    {
        note_agreement();
    }
    else
    {
        alone_since_ = std::min(alone_since_, now);
        disagreed_at_ = now;
    }
    if (is_unchanged)
    {
        peer.differs_since = state::never;
    }
    else if (is_in_flight)
    {
        peer.differs_since = *left_at;
    }
    else
    {
        peer.differs_since = std::min(peer.differs_since, now);
    }
}

void fleet_view::note_agreement() noexcept
{
    alone_since_ = state::never;
}

// -- peers to ask ---------------------------------------------------------------------------------

// Returns the peer of the greatest rank under `random_value` among those that fit.
template <class Fits>
std::optional<state::endpoint> fleet_view::pick_peer(std::uint64_t random_value,
                                                     Fits const& fits) const
{
    std::optional<state::endpoint> chosen;
    std::uint64_t best = 0;
    for (auto const& [node, peer] : peers_)
    {
        std::uint64_t const rank = state::mix(node.value, random_value);
        if (fits(peer) && (!chosen || rank > best))
        {
            chosen = peer.streams;
            best = rank;
        }
    }
    return chosen;
}

std::optional<state::endpoint>
fleet_view::peer_with_newer_configuration(std::uint64_t version, std::uint64_t random_value,
                                          state::time_point now) const
{
    return pick_peer(random_value, [this, version, now](peer_state const& peer)
                     { return is_live(peer, now) && peer.configuration > version; });
}

// Requires two messages that differ: updates in flight at the first have arrived by the second.
bool fleet_view::differs(peer_state const& peer) const noexcept
{
    return peer.differs_since != state::never &&
           peer.differs_since + propagation_time <= peer.last_contact;
}

// If only readers were asked, hundreds of VMs that lack an update would all ask the same two; every
// peer with the same directory as a reader can answer as well. While hardly any peer has it, as
// after the start of all upstreams, those few would be asked by all, and no answer would arrive in
// time: then any peer is asked, and VMs that lack different rows complete each other.
std::optional<state::endpoint> fleet_view::peer_with_newer_directory(std::uint64_t random_value,
                                                                     state::time_point now) const
{
    std::vector<std::uint64_t> wanted;
    for (auto const& [node, peer] : peers_)
    {
        if (is_live(peer, now) && is_reading(node, now) && differs(peer))
        {
            wanted.push_back(peer.directory);
        }
    }
    if (wanted.empty())
    {
        return peer_beside_readers(random_value, now);
    }
    auto const has_it = [this, now, &wanted](peer_state const& peer)
    {
        return is_live(peer, now) &&
               std::find(wanted.begin(), wanted.end(), peer.directory) != wanted.end();
    };
    auto const agreeing = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&has_it](auto const& each) { return has_it(each.second); }));
    if (agreeing * max_requesters_per_peer >= live_count(now))
    {
        return pick_peer(random_value, has_it);
    }
    return pick_peer(random_value, [this, now](peer_state const& peer)
                     { return is_live(peer, now) && peer.directory != 0; });
}

std::optional<state::endpoint>
fleet_view::peer_to_refresh_from(std::uint64_t random_value, std::span<state::endpoint const> asked,
                                 state::time_point now) const
{
    auto const has_rows = [asked](peer_state const& peer)
    {
        return peer.directory != 0 &&
               std::find(asked.begin(), asked.end(), peer.streams) == asked.end();
    };
    auto const live = pick_peer(random_value, [this, now, &has_rows](peer_state const& peer)
                                { return is_live(peer, now) && has_rows(peer); });
    return live ? live : pick_peer(random_value, has_rows);
}

bool fleet_view::may_have_more(peer_state const& peer, state::time_point now) const
{
    return is_live(peer, now) && peer.directory != 0 && peer.differs_since != state::never;
}

// In a large fleet a peer's next message comes after many seconds: there `is_alone` shows it
// sooner.
bool fleet_view::is_outnumbered(state::time_point now) const
{
    std::size_t agreeing = 0;
    std::size_t differing = 0;
    for (auto const& [node, peer] : peers_)
    {
        bool const is_lasting =
            may_have_more(peer, now) && peer.differs_since + max_time_alone <= peer.last_contact;
        differing += is_lasting ? 1 : 0;
        agreeing += is_live(peer, now) && peer.unequal_since == state::never ? 1 : 0;
    }
    return differing > agreeing;
}

// Readers miss datagrams as well, and a VM may know of them by hearsay alone: one that compared
// itself only with readers that it hears would keep what it missed for good.
std::optional<state::endpoint> fleet_view::peer_beside_readers(std::uint64_t random_value,
                                                               state::time_point now) const
{
    if (!is_alone() && !is_outnumbered(now))
    {
        return std::nullopt;
    }
    return pick_peer(random_value,
                     [this, now](peer_state const& peer) { return may_have_more(peer, now); });
}

std::optional<lasting_difference> fleet_view::find_lasting_difference(state::time_point now) const
{
    for (auto const& [node, peer] : peers_)
    {
        bool const is_lasting = peer.unequal_since != state::never &&
                                peer.unequal_since + propagation_time <= peer.last_contact;
        if (is_lasting && is_live(peer, now) && is_reading(node, now))
        {
            return lasting_difference{node, peer.directory, peer.unequal_since,
                                      peer.differs_since == state::never};
        }
    }
    return std::nullopt;
}

std::optional<state::endpoint> fleet_view::bootstrap_peer(std::uint64_t random_value,
                                                          state::time_point now) const
{
    return pick_peer(
        random_value, [this, now](peer_state const& peer)
        { return is_live(peer, now) && peer.configuration != 0 && peer.directory != 0; });
}

} // namespace plumdale::coordination
