#pragma once

#include <plumdale/coordination/fleet_update.hpp>
#include <plumdale/coordination/recent_digests.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// \file
/// \brief What each peer last told of itself, and what follows for this entry VM.

namespace plumdale::coordination
{

/// \brief A peer as it last told of itself.
struct peer_state
{
    state::incarnation incarnation_number;
    std::uint64_t sequence = 0;
    /// \brief Where it serves what it knows.
    state::endpoint streams;
    std::uint64_t configuration = 0;
    std::uint64_t directory = 0;
    /// \brief When it last read the platform itself, by this VM's clock.
    state::time_point last_platform_read{};
    state::time_point last_contact{};
    /// \brief Since when its directory is one that this VM never had; `never` while it is not.
    state::time_point differs_since = state::never;
};

/// \brief What is known of a peer as a reader of the store, by its own word or by others'.
struct reader_state
{
    std::uint64_t heartbeat = 0;
    /// \brief When it last read, by this VM's clock.
    state::time_point read_at{};
    /// \brief Its last word was that it can't read.
    bool failed = false;
    /// \brief Its last word was that it reads.
    bool reported_reading = false;
};

/// \brief Decides who reads the platform's store and whom to ask for what is missing.
///
/// All entry VMs would see the same changes, so a few read and tell the others. The readers are
/// those of the lowest ranks that can read. Each message carries how far the readers got that its
/// sender counts on, so one lost datagram of a reader changes nothing; a reader that is silent to
/// all is replaced in the order of ranks, so each side of a partition has its own. Example:
/// \code
/// fleet_view fleet{self};
/// fleet.hear(news, streams, own_digest, now);
/// if (fleet.update_reader_role(now)) { watch the store }
/// \endcode
class fleet_view
{
public:
    /// \brief `eligible_from`: this VM doesn't become a reader before; one that has just started
    /// has not heard yet who reads.
    explicit fleet_view(state::node_id self, state::time_point eligible_from = {}) noexcept
        : self_{self}, eligible_from_{eligible_from}
    {
    }

    /// \brief Takes a message; returns whether it is newer than what is known of its sender.
    bool apply_update(fleet_update const& update, state::endpoint streams, std::uint64_t own_digest,
                      state::time_point now);
    /// \brief Own directory changed: peers that had the former one were only behind.
    void directory_changed(std::uint64_t own_digest, state::time_point now);
    void forget_silent(state::time_point now);

    // -- readers ------------------------------------------------------------------------
    /// \brief Decides anew whether this entry VM is to read the store itself, and returns it.
    bool update_reader_role(state::time_point now);
    /// \brief Returns what was decided last.
    [[nodiscard]] bool is_reader() const noexcept
    {
        return is_reader_;
    }
    /// \brief Returns the readers that this VM counts on, itself not included.
    [[nodiscard]] std::vector<reader_heartbeat> reader_heartbeats(state::time_point now) const;
    /// \brief Returns the number of peers whose last word was that they can't read the store.
    [[nodiscard]] std::size_t peers_without_store(state::time_point now) const;

    // -- whom to ask ------------------------------------------------------------------------
    /// \brief Returns one of the peers that follow a version newer than `version`, by a draw; none
    /// if none does. A draw, since all that lack it would ask the first that had it.
    [[nodiscard]] std::optional<state::endpoint>
    peer_with_newer_configuration(std::uint64_t version, std::uint64_t random_value,
                                  state::time_point now) const;
    /// \brief Returns whom to ask for its directory: where a reader has differed for longer than
    /// news are under way, one of all peers that agree with it, by a draw; none if all agree.
    [[nodiscard]] std::optional<state::endpoint>
    peer_with_newer_directory(std::uint64_t random_value, state::time_point now) const;
    /// \brief Returns one of the peers that follow a configuration and have a directory, by a draw.
    [[nodiscard]] std::optional<state::endpoint> bootstrap_peer(std::uint64_t random_value,
                                                                state::time_point now) const;

    // -- the fleet ------------------------------------------------------------------------
    /// \brief Returns the number of entry VMs heard lately, this one included.
    [[nodiscard]] std::size_t live_count(state::time_point now) const;
    /// \brief Returns the time between two periodic messages of a reader in a fleet of this size.
    [[nodiscard]] state::duration reader_interval() const noexcept;
    /// \brief ... and of the others, who are only counted by theirs.
    [[nodiscard]] state::duration follower_interval() const noexcept;
    /// \brief Returns how long a peer may be silent before it isn't counted on any more: two and a
    /// half calm intervals, of which one message may be lost.
    [[nodiscard]] state::duration silence_timeout() const noexcept;
    /// \brief Returns when a peer was last heard that was not known; the epoch if none was.
    [[nodiscard]] state::time_point last_joined() const noexcept
    {
        return last_joined_;
    }
    /// \brief Returns the most entry VMs that were live at once.
    [[nodiscard]] std::size_t peak_live() const noexcept
    {
        return peak_live_;
    }
    /// \brief Returns the newest moment at which this VM or a live peer read the store.
    [[nodiscard]] state::time_point last_platform_read(state::time_point now) const;
    [[nodiscard]] std::unordered_map<state::node_id, peer_state> const& peers() const noexcept
    {
        return peers_;
    }

    /// \brief Two readers: one may fall silent without a gap in what the fleet hears.
    static constexpr std::size_t reader_count = 2;
    /// \brief Time between two periodic messages of an entry VM: 10 ms for each one that hears it,
    /// within these bounds.
    static constexpr state::duration reader_interval_per_peer = std::chrono::milliseconds{10};
    static constexpr state::duration min_interval = std::chrono::milliseconds{350};
    static constexpr state::duration max_interval = std::chrono::seconds{1};
    /// \brief Time between two periodic messages for each one that hears them: some 100 bytes in
    /// 20 ms are 5 KB/s, in a fleet of any size.
    static constexpr state::duration follower_interval_per_peer = std::chrono::milliseconds{20};
    /// \brief A reader whose last read is older than this and one interval is not counted on: a
    /// calm watch answers after 0.6 s. Configurations have to be in force after 2 s in small
    /// fleets, and a reader may fall silent just before one comes.
    static constexpr state::duration max_read_age = std::chrono::milliseconds{950};
    /// \brief Time that each next in rank waits for those before it to read, within these bounds:
    /// by then it has heard of their first read.
    static constexpr state::duration succession_delay_per_vm = std::chrono::microseconds{400};
    static constexpr state::duration min_succession_delay = std::chrono::milliseconds{40};
    static constexpr state::duration max_succession_delay = std::chrono::milliseconds{120};
    /// \brief How much longer each pair of volunteers waits once two pairs before it were turned
    /// away.
    static constexpr state::duration failed_pair_delay = std::chrono::milliseconds{100};
    /// \brief News of a change reach all within this; above it a difference is a loss.
    static constexpr state::duration propagation_time = std::chrono::milliseconds{600};

private:
    template <class Fits>
    [[nodiscard]] std::optional<state::endpoint> pick_peer(std::uint64_t random_value,
                                                           Fits const& fits) const;
    void note_reader(fleet_update const& update, state::time_point now);
    void note_heartbeat(reader_heartbeat const& observed, state::time_point now);
    [[nodiscard]] bool is_fresh(reader_state const& reader, state::time_point now) const noexcept;
    [[nodiscard]] bool has_failed(state::node_id node) const;
    [[nodiscard]] bool is_reading(state::node_id node, state::time_point now) const;
    [[nodiscard]] bool is_live(peer_state const& peer, state::time_point now) const noexcept;
    [[nodiscard]] bool is_candidate(state::node_id node, peer_state const& peer,
                                    state::time_point now) const;
    [[nodiscard]] bool differs(peer_state const& peer) const noexcept;
    [[nodiscard]] state::duration succession_delay(std::size_t active_readers,
                                                   state::time_point now) const;
    [[nodiscard]] std::size_t lower_ranked_failures(state::time_point now) const;

    state::node_id self_;
    state::time_point eligible_from_;
    std::unordered_map<state::node_id, peer_state> peers_;
    std::unordered_map<state::node_id, reader_state> readers_;
    recent_digests own_digests_;
    /// \brief Since when too few of lower rank read; `never` while enough do.
    state::time_point too_few_readers_since_ = state::never;
    /// \brief Peers of lower rank that were turned away when that was last counted.
    std::size_t lower_ranked_failures_ = 0;
    bool is_reader_ = false;
    std::size_t peak_live_ = 1;
    state::time_point last_joined_{};
};

} // namespace plumdale::coordination
