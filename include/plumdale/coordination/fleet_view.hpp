#pragma once

#include <plumdale/coordination/fleet_update.hpp>
#include <plumdale/coordination/recent_digests.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Last reported state of each peer, and what this entry VM derives from it.

namespace plumdale::coordination
{

/// \brief Last reported state of a peer.
struct peer_state
{
    state::incarnation incarnation_number;
    std::uint64_t sequence = 0;
    /// \brief Where it serves its configuration and directory.
    state::endpoint streams;
    std::uint64_t configuration = 0;
    std::uint64_t directory = 0;
    std::uint32_t directory_version = 0;
    /// \brief The last version of its directory that was this VM's as well; zero for none.
    std::uint32_t agreed_version = 0;
    /// \brief When it last read the platform itself, by this VM's clock.
    state::time_point last_platform_read{};
    state::time_point last_contact{};
    /// \brief Since when its directory is not this VM's; `never` while it is.
    state::time_point unequal_since = state::never;
    /// \brief Since when it may have what this VM lacks; `never` while it is equal or behind.
    state::time_point differs_since = state::never;
};

/// \brief A reader whose directory has not been this VM's for longer than a change takes.
struct lasting_difference
{
    state::node_id reader;
    std::uint64_t directory = 0;
    /// \brief Since when it has not been this VM's.
    state::time_point since{};
    /// \brief The reader counts as behind: what it lacks is on its way to it.
    bool is_behind = false;
};

/// \brief State of a peer as a reader of the store, reported by itself or by others.
struct reader_state
{
    std::uint64_t heartbeat = 0;
    /// \brief When it last read, by this VM's clock.
    state::time_point read_at{};
    /// \brief Its last report says that it can't read.
    bool failed = false;
    /// \brief Its last report says that it reads.
    bool reported_reading = false;
};

/// \brief Decides which VMs read the platform's store, and which peer to ask for missing state.
///
/// All entry VMs would read the same changes, so a few read and inform the others. The readers are
/// the VMs of the lowest ranks that can read. Each message carries the heartbeats of the readers
/// that its sender relies on, so one lost datagram of a reader changes nothing. A reader that is
/// silent to all is replaced in the order of ranks, so each side of a partition has its own.
/// Example:
/// \code
/// fleet_view fleet{self};
/// fleet.apply_update(update, streams, own_digest, now);
/// if (fleet.update_reader_role(now)) { watch the store }
/// \endcode
class fleet_view
{
public:
    /// \brief `eligible_from`: this VM doesn't become a reader before; a VM that has just started
    /// doesn't know yet which VMs read.
    explicit fleet_view(state::node_id self, state::time_point eligible_from = {}) noexcept
        : self_{self}, eligible_from_{eligible_from}
    {
    }

    /// \brief Applies a message; returns whether it is newer than the last one of its sender.
    bool apply_update(fleet_update const& update, state::endpoint streams, std::uint64_t own_digest,
                      state::time_point now);
    /// \brief Records a change of the own directory: a peer that stays as it was is only behind.
    void directory_changed(std::uint64_t own_digest, state::time_point now);
    void forget_silent(state::time_point now);

    // -- readers ------------------------------------------------------------------------
    /// \brief Updates and returns whether this entry VM reads the store itself.
    bool update_reader_role(state::time_point now);
    /// \brief Returns the last result of `update_reader_role`.
    [[nodiscard]] bool is_reader() const noexcept
    {
        return is_reader_;
    }
    /// \brief Returns the readers that this VM relies on, excluding itself.
    [[nodiscard]] std::vector<reader_heartbeat> reader_heartbeats(state::time_point now) const;
    /// \brief Returns the number of peers whose last report says that they can't read the store.
    [[nodiscard]] std::size_t peers_without_store(state::time_point now) const;

    // -- peers to ask -----------------------------------------------------------------------
    /// \brief Returns a random peer that follows a version newer than `version`; none if none does.
    /// Without the random choice all VMs that lack it would ask the first peer that had it.
    [[nodiscard]] std::optional<state::endpoint>
    peer_with_newer_configuration(std::uint64_t version, std::uint64_t random_value,
                                  state::time_point now) const;
    /// \brief Returns a random peer to request rows of the directory from if a reader's directory
    /// has differed for `propagation_time`: one that agrees with such a reader if enough do,
    /// otherwise any. If this VM is alone with its directory, or most peers have differed for
    /// longer, one that may have what it lacks; none otherwise.
    [[nodiscard]] std::optional<state::endpoint>
    peer_with_newer_directory(std::uint64_t random_value, state::time_point now) const;
    /// \brief Returns a random peer to request rows of the directory from, other than those in
    /// `asked`: a live one if there is any. After a pause of this VM there is none.
    [[nodiscard]] std::optional<state::endpoint>
    peer_to_refresh_from(std::uint64_t random_value, std::span<state::endpoint const> asked,
                         state::time_point now) const;
    /// \brief Returns whether no peer's message has agreed with this VM's directory for
    /// `max_time_alone`.
    [[nodiscard]] bool is_alone() const noexcept
    {
        return alone_since_ != state::never && alone_since_ + max_time_alone <= disagreed_at_;
    }
    /// \brief Returns a live reader whose directory has not been this VM's for `propagation_time`;
    /// none if there is none.
    [[nodiscard]] std::optional<lasting_difference>
    find_lasting_difference(state::time_point now) const;
    /// \brief Returns a random peer that follows a configuration and has a directory.
    [[nodiscard]] std::optional<state::endpoint> bootstrap_peer(std::uint64_t random_value,
                                                                state::time_point now) const;

    // -- the fleet ------------------------------------------------------------------------
    /// \brief Returns the number of live entry VMs, including this one.
    [[nodiscard]] std::size_t live_count(state::time_point now) const;
    /// \brief Returns whether a peer was heard from recently enough to count as live.
    [[nodiscard]] bool is_live(peer_state const& peer, state::time_point now) const noexcept;
    /// \brief Returns the number of states that the own directory has had, for messages to peers.
    [[nodiscard]] std::uint32_t directory_version() const noexcept
    {
        return directory_version_;
    }
    /// \brief Returns the time between two periodic messages of a reader in a fleet of this size.
    [[nodiscard]] state::duration reader_interval() const noexcept;
    /// \brief Returns the same for other VMs, whose messages only show that they are live.
    [[nodiscard]] state::duration follower_interval() const noexcept;
    /// \brief Returns how long a peer may be silent before it no longer counts as live: two and a
    /// half follower intervals, so that one message may be lost.
    [[nodiscard]] state::duration silence_timeout() const noexcept;
    /// \brief Returns when a new peer last sent its first message; the epoch if none did.
    [[nodiscard]] state::time_point last_joined() const noexcept
    {
        return last_joined_;
    }
    /// \brief Returns the largest number of entry VMs that were live at once.
    [[nodiscard]] std::size_t peak_live() const noexcept
    {
        return peak_live_;
    }
    /// \brief Returns the latest time at which a live peer read the store.
    [[nodiscard]] state::time_point last_platform_read(state::time_point now) const;
    [[nodiscard]] std::unordered_map<state::node_id, peer_state> const& peers() const noexcept
    {
        return peers_;
    }

    /// \brief With two readers, one may fall silent without a gap in the fleet's updates.
    static constexpr std::size_t reader_count = 2;
    /// \brief Time between two periodic messages of a reader: 10 ms for each VM that receives them,
    /// within these bounds.
    static constexpr state::duration reader_interval_per_peer = std::chrono::milliseconds{10};
    static constexpr state::duration min_interval = std::chrono::milliseconds{350};
    static constexpr state::duration max_interval = std::chrono::seconds{1};
    /// \brief Time between two periodic messages of other VMs, for each VM that receives them: some
    /// 100 bytes in 20 ms are 5 KB/s, in a fleet of any size.
    static constexpr state::duration follower_interval_per_peer = std::chrono::milliseconds{20};
    /// \brief A reader whose last read is older than this plus one interval is not relied on: a
    /// watch without changes answers after 0.6 s. Configurations must be in force after 2 s in
    /// small fleets, and a reader may fall silent just before one is published.
    static constexpr state::duration max_read_age = std::chrono::milliseconds{950};
    /// \brief Time that each VM waits for the one of next lower rank to start reading, within these
    /// bounds: by then a report of its first read has arrived.
    static constexpr state::duration succession_delay_per_vm = std::chrono::microseconds{400};
    static constexpr state::duration min_succession_delay = std::chrono::milliseconds{40};
    static constexpr state::duration max_succession_delay = std::chrono::milliseconds{120};
    /// \brief Additional wait of each pair of candidates once two pairs before it failed to read.
    static constexpr state::duration failed_pair_delay = std::chrono::milliseconds{100};
    /// \brief Requesters that one peer can answer within their timeout, over a link of 20 Mbit/s.
    static constexpr std::size_t max_requesters_per_peer = 32;
    /// \brief A change reaches all VMs within this time; a longer difference means a lost message.
    static constexpr state::duration propagation_time = std::chrono::milliseconds{600};
    /// \brief Two changes in a row reach all VMs within this time.
    static constexpr state::duration max_time_alone = 2 * propagation_time;

private:
    template <class Fits>
    [[nodiscard]] std::optional<state::endpoint> pick_peer(std::uint64_t random_value,
                                                           Fits const& fits) const;
    void compare_directory(peer_state& peer, std::uint64_t own_digest, state::time_point now);
    [[nodiscard]] std::optional<state::endpoint> peer_beside_readers(std::uint64_t random_value,
                                                                     state::time_point now) const;
    [[nodiscard]] bool is_outnumbered(state::time_point now) const;
    [[nodiscard]] bool may_have_more(peer_state const& peer, state::time_point now) const;
    void note_agreement() noexcept;
    void note_reader(fleet_update const& update, state::time_point now);
    void note_heartbeat(reader_heartbeat const& observed, state::time_point now);
    [[nodiscard]] bool is_fresh(reader_state const& reader, state::time_point now) const noexcept;
    [[nodiscard]] bool has_failed(state::node_id node) const;
    [[nodiscard]] bool is_reading(state::node_id node, state::time_point now) const;
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
    std::uint32_t directory_version_ = 1;
    /// \brief When the first message came that did not agree with the own directory, since the last
    /// one that did; `never` if there is none.
    state::time_point alone_since_ = state::never;
    /// \brief When the last such message came.
    state::time_point disagreed_at_{};
    /// \brief Since when too few VMs of lower rank read; `never` while enough do.
    state::time_point too_few_readers_since_ = state::never;
    /// \brief Peers of lower rank that failed to read, as last counted.
    std::size_t lower_ranked_failures_ = 0;
    bool is_reader_ = false;
    std::size_t peak_live_ = 1;
    state::time_point last_joined_{};
};

} // namespace plumdale::coordination
