#include <plumdale/coordination/fleet_view.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Makes the ranks of readers differ from other ranks derived from the same ids.
constexpr std::uint64_t reader_rank_seed = 0x5ead;

std::uint64_t rank_of(state::node_id node) noexcept
{
    return state::mix(node.value, reader_rank_seed);
}

} // namespace

bool fleet_view::apply_update(fleet_update const& update, state::endpoint streams,
                              std::uint64_t own_digest, state::time_point now)
{
    if (update.sender == self_)
    {
        return false;
    }
    auto const [place, is_new] = peers_.try_emplace(update.sender);
    last_joined_ = is_new ? now : last_joined_;
    peer_state& peer = place->second;
    // Incarnations are numbered by the time of day, which may have stepped back: a smaller one is
    // accepted once the other has been silent for longer than a datagram is in flight.
    bool const is_past_incarnation = update.incarnation_number < peer.incarnation_number &&
                                     peer.last_contact + propagation_time >= now;
    bool const is_old =
        is_past_incarnation ||
        (update.incarnation_number == peer.incarnation_number && update.sequence <= peer.sequence);
    if (is_old)
    {
        return false;
    }
    if (peer.incarnation_number != update.incarnation_number)
    {
        peer.agreed_version = 0;
    }
    peer.incarnation_number = update.incarnation_number;
    peer.sequence = update.sequence;
    peer.streams = streams;
    peer.configuration = update.configuration;
    peer.directory = update.directory;
    peer.directory_version = update.directory_version;
    peer.last_contact = now;
    constexpr std::uint32_t cannot_read = UINT32_MAX;
    peer.last_platform_read = update.platform_age_ms == cannot_read
                                  ? state::time_point{}
                                  : now - std::chrono::milliseconds{update.platform_age_ms};
    compare_directory(peer, own_digest, now);
    note_reader(update, now);
    if (peers_.size() + 1 > peak_live_)
    {
        peak_live_ = std::max(peak_live_, live_count(now));
    }
    return true;
}

// -- readers --------------------------------------------------------------------------------------

void fleet_view::note_reader(fleet_update const& update, state::time_point now)
{
    constexpr std::uint32_t cannot_read = UINT32_MAX;
    reader_state& reader = readers_[update.sender];
    reader.heartbeat = std::max(reader.heartbeat, update.heartbeat);
    reader.failed = update.platform_age_ms == cannot_read;
    if (!reader.failed)
    {
        reader.read_at =
            std::max(reader.read_at, now - std::chrono::milliseconds{update.platform_age_ms});
    }
    reader.reported_reading = is_fresh(reader, now);
    for (reader_heartbeat const& observed : update.readers)
    {
        note_heartbeat(observed, now);
    }
}

// The age of a read counts from the first receipt of the greater heartbeat, never from a forwarded
// age: each forwarding would make a dead reader look a little younger, and the fleet would keep it
// alive.
void fleet_view::note_heartbeat(reader_heartbeat const& observed, state::time_point now)
{
    reader_state& reader = readers_[observed.reader];
    if (observed.reader == self_ || observed.heartbeat <= reader.heartbeat)
    {
        return;
    }
    reader.heartbeat = observed.heartbeat;
    reader.read_at = now;
    reader.failed = false;
    reader.reported_reading = true;
}

bool fleet_view::is_fresh(reader_state const& reader, state::time_point now) const noexcept
{
    return !reader.failed && reader.read_at + max_read_age + reader_interval() >= now;
}

bool fleet_view::has_failed(state::node_id node) const
{
    auto const found = readers_.find(node);
    return found != readers_.end() && found->second.failed;
}

bool fleet_view::is_reading(state::node_id node, state::time_point now) const
{
    auto const found = readers_.find(node);
    return found != readers_.end() && is_fresh(found->second, now);
}

// A peer that reported that it can't read won't become a reader, and one that reported reading and
// fell silent is the reader to be replaced.
bool fleet_view::is_candidate(state::node_id node, peer_state const& peer,
                              state::time_point now) const
{
    auto const found = readers_.find(node);
    bool const is_excluded =
        found != readers_.end() && (found->second.failed || found->second.reported_reading);
    return is_live(peer, now) && rank_of(node) < rank_of(self_) && !is_excluded &&
           !is_reading(node, now);
}

state::duration fleet_view::succession_delay(std::size_t active_readers,
                                             state::time_point now) const
{
    auto const lower_ranked = static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [this, now](auto const& each) { return is_candidate(each.first, each.second, now); }));
    std::size_t const failed_pairs = lower_ranked_failures_ / reader_count;
    state::duration const retry_pause =
        failed_pairs < 2 ? state::duration{}
                         : static_cast<std::int64_t>(failed_pairs - 1) * failed_pair_delay;
    std::size_t const wanted = reader_count - active_readers;
    if (lower_ranked < wanted)
    {
        return retry_pause;
    }
    state::duration const each =
        std::clamp<state::duration>(static_cast<std::int64_t>(peak_live_) * succession_delay_per_vm,
                                    min_succession_delay, max_succession_delay);
    return retry_pause + static_cast<std::int64_t>(lower_ranked - wanted + 1) * each;
}

std::size_t fleet_view::lower_ranked_failures(state::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [this, now](auto const& each)
                                                  {
                                                      return is_live(each.second, now) &&
                                                             has_failed(each.first) &&
                                                             rank_of(each.first) < rank_of(self_);
                                                  }));
}

// If all VMs started when a reader is late, hundreds would read configuration and list within a few
// milliseconds: the store would reject most of them, and the first read has what all need. So the
// VMs next in rank start, and the others receive a report of their first read.
bool fleet_view::update_reader_role(state::time_point now)
{
    auto const active_readers = static_cast<std::size_t>(std::count_if(
        readers_.begin(), readers_.end(),
        [this, now](auto const& each)
        { return is_fresh(each.second, now) && rank_of(each.first) < rank_of(self_); }));
    if (active_readers >= reader_count)
    {
        too_few_readers_since_ = state::never;
        lower_ranked_failures_ = 0;
        is_reader_ = false;
        return false;
    }
    // Other VMs have just failed to read: each waiting VM restarts its wait, as otherwise all VMs
    // would read a store that is down for all.
    std::size_t const failed = lower_ranked_failures(now);
    too_few_readers_since_ =
        failed > lower_ranked_failures_ ? now : std::min(too_few_readers_since_, now);
    lower_ranked_failures_ = failed;
    is_reader_ =
        is_reader_ || (now >= eligible_from_ &&
                       now >= too_few_readers_since_ + succession_delay(active_readers, now));
    return is_reader_;
}

std::vector<reader_heartbeat> fleet_view::reader_heartbeats(state::time_point now) const
{
    std::vector<reader_heartbeat> heartbeats;
    for (auto const& [node, reader] : readers_)
    {
        if (reader.heartbeat != 0 && is_fresh(reader, now))
        {
            heartbeats.push_back({node, reader.heartbeat});
        }
    }
    std::sort(heartbeats.begin(), heartbeats.end(),
              [](reader_heartbeat const& a, reader_heartbeat const& b)
              { return rank_of(a.reader) < rank_of(b.reader); });
    heartbeats.resize(std::min(heartbeats.size(), fleet_update::max_readers));
    return heartbeats;
}

std::size_t fleet_view::peers_without_store(state::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                  [this, now](auto const& each) {
                                                      return is_live(each.second, now) &&
                                                             has_failed(each.first);
                                                  }));
}

// -- the fleet ------------------------------------------------------------------------------------

void fleet_view::forget_silent(state::time_point now)
{
    static constexpr state::duration remembered = std::chrono::minutes{2};
    std::erase_if(peers_,
                  [now](auto const& each) { return each.second.last_contact + remembered < now; });
    // Readers are kept as long, also those that never sent a message to this VM: if one were
    // forgotten at once, the next forwarded heartbeat would make it look as if it had just read.
    std::erase_if(readers_,
                  [now](auto const& each) { return each.second.read_at + remembered < now; });
}

bool fleet_view::is_live(peer_state const& peer, state::time_point now) const noexcept
{
    return peer.last_contact + silence_timeout() >= now;
}

state::duration fleet_view::reader_interval() const noexcept
{
    return std::clamp(static_cast<std::int64_t>(peak_live_) * reader_interval_per_peer,
                      min_interval, max_interval);
}

state::duration fleet_view::follower_interval() const noexcept
{
    return std::max(min_interval,
                    static_cast<std::int64_t>(peak_live_) * follower_interval_per_peer);
}

state::duration fleet_view::silence_timeout() const noexcept
{
    return std::max<state::duration>(max_interval, follower_interval()) * 5 / 2;
}

std::size_t fleet_view::live_count(state::time_point now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(),
                                                      [this, now](auto const& each)
                                                      { return is_live(each.second, now); }));
}

state::time_point fleet_view::last_platform_read(state::time_point now) const
{
    state::time_point newest{};
    for (auto const& [node, peer] : peers_)
    {
        if (is_live(peer, now))
        {
            newest = std::max(newest, peer.last_platform_read);
        }
    }
    return newest;
}

} // namespace plumdale::coordination
