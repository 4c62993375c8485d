#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/store_position_tracker.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Reads and watches the platform's store.

namespace plumdale::transport
{

/// \brief Reads configuration and upstreams while this entry VM is a reader, then waits for
/// changes; starts over when the store has dropped its history.
class store_reader
{
public:
    explicit store_reader(forward_core& core);

    void start();
    /// \brief Reads the configuration once, even if this VM is no reader; calls `on_not_newer` if
    /// the store does not give a newer one.
    void read_once(std::function<void()> on_not_newer);
    /// \brief Reads the operators' entries and the whole list once, though this VM is no reader:
    /// its peers don't have, or don't give it, what it lacks. Peers don't take it for a reader.
    void read_all_once();
    /// \brief Returns when the store last answered successfully.
    [[nodiscard]] state::time_point last_read() const noexcept
    {
        return last_read_;
    }

    /// \brief Returns whether the last call to the store failed.
    [[nodiscard]] bool last_call_failed() const noexcept
    {
        return last_call_failed_;
    }

    /// \brief Pause between two waits for changes: upstreams write to the store several times a
    /// second and each write ends a wait, each call is paid for, and a notice of departure lasts
    /// 1.5 s.
    static constexpr state::duration watch_pause = std::chrono::milliseconds{150};
    static constexpr state::duration watch_wait = std::chrono::milliseconds{600};
    /// \brief Time for an answer, or for more of it, beyond the wait; the store answers in 4 ms, or
    /// in 60 times that when it is slow.
    static constexpr state::duration answer_timeout = std::chrono::milliseconds{700};
    /// \brief The same for a page of the list that a VM reads at its start: while 1,000 VMs start
    /// at once, a page of 175 KB for each keeps the store's link of 1 Gbit/s busy for 1.4 s.
    static constexpr state::duration list_page_timeout = std::chrono::seconds{2};
    static constexpr state::duration initial_retry_delay = std::chrono::milliseconds{150};
    /// \brief Before the first start nothing is published: the seeds retry at this interval and
    /// inform the others.
    static constexpr state::duration unpublished_seed_retry_delay = std::chrono::milliseconds{400};
    /// \brief Interval at which the other entry VMs retry then, in case there is no seed.
    static constexpr state::duration unpublished_peer_retry_delay = std::chrono::seconds{2};
    static constexpr state::duration max_retry_delay = std::chrono::milliseconds{900};
    /// \brief Entry VMs that may retry an unresponsive store at the full rate; if there are more,
    /// each retries less often, so that hundreds don't call a recovering store at once.
    static constexpr std::size_t max_full_rate_requesters = 8;
    static constexpr state::duration max_shared_retry_delay = std::chrono::seconds{6};
    /// \brief How often an entry VM that is no reader checks whether it has to become one.
    static constexpr state::duration role_check_interval = std::chrono::milliseconds{100};
    /// \brief Entry VMs that get a newer configuration from no peer read it within this time.
    static constexpr state::duration read_once_jitter = std::chrono::milliseconds{80};
    /// \brief An outage this long may have let upstreams' entries expire: they last three
    /// heartbeats of 1.2 s, one of which may have passed before it.
    static constexpr state::duration expiry_outage = std::chrono::milliseconds{2'000};
    /// \brief Time for operators and upstreams to write again what a store restored from a copy has
    /// lost: three heartbeats of upstreams.
    static constexpr state::duration rewrite_time = std::chrono::milliseconds{3'600};

private:
    void step();
    /// \brief Reads what is missing of the list, or waits until this VM has to be a reader.
    void step_without_role();
    void schedule_step(state::duration time);
    void bootstrap();
    void retry_unpublished();
    void read_operator_entries(protocol::read_consistency consistency, std::string const& page);
    void apply_operator_entries(protocol::read_consistency consistency);
    /// \brief Reads the next page of the list; goes on where an earlier read ended.
    void read_list(protocol::read_consistency consistency);
    void apply_list_page(protocol::store_page const& page);
    void apply_list();
    /// \brief Moves upstreams from the `begin`th unreported one on to those known at the start.
    void withhold_from_peers(std::size_t begin);
    void watch();
    /// \brief The pages of a read of everything by a VM that is no reader.
    struct single_read;
    void read_operator_entries_once(std::shared_ptr<single_read> const& progress,
                                    std::string const& page);
    void read_list_once(std::shared_ptr<single_read> const& progress, std::string const& page);
    void apply_single_read(single_read& progress);
    void end_single_read(std::string_view decision, std::size_t rows);
    void read_newer(protocol::read_consistency consistency,
                    std::function<void()> const& on_not_newer);
    void call(std::string target, state::duration timeout, fetch_handler handler);
    /// \brief Calls the store; starts over instead of calling `handler` if it was restored from a
    /// copy.
    void read(std::string target, state::duration timeout, fetch_handler handler);
    void note_era(state::result<fetch_answer> const& answer);
    /// \brief Replaces the revisions in a page by positions in the store's history.
    void assign_positions(protocol::store_page& page, protocol::read_consistency consistency);
    [[nodiscard]] state::result<protocol::store_page>
    parse_page(state::result<fetch_answer> const& answer, protocol::read_consistency consistency);
    void log_role_change(bool has_reader_role);
    void succeeded(protocol::read_consistency consistency);
    [[nodiscard]] state::duration with_jitter(state::duration time);
    [[nodiscard]] std::size_t other_requesters() const;
    void failed(std::string_view what, state::result<fetch_answer> const& answer);

    /// \brief The pages of the list that have been read.
    struct list_progress
    {
        protocol::read_consistency consistency = protocol::read_consistency::allow_stale;
        std::vector<state::service_member> members;
        std::vector<protocol::unusable_entry> unusable;
        /// \brief Revision of the first page: the watch reports changes since.
        std::uint64_t revision = 0;
        std::size_t page_count = 0;
        /// \brief Page to read next; empty for the first.
        std::string next_page;
    };

    static void add_page(list_progress& whole, protocol::store_page const& page);

    forward_core& core_;
    fetcher fetcher_;
    net::steady_timer timer_;
    list_progress list_;
    /// \brief The operators' entries read so far, with their pages merged.
    protocol::store_page operator_entries_;
    coordination::store_position_tracker position_tracker_;
    /// \brief The store's own revision from which it is watched.
    std::uint64_t watch_revision_ = 0;
    /// \brief When everything is read once more after the store was restored from a copy.
    state::time_point reread_at_ = state::never;
    bool restart_pending_ = false;
    state::time_point last_read_{};
    state::duration retry_delay_ = initial_retry_delay;
    bool had_reader_role_ = false;
    bool reading_once_ = false;
    bool reading_all_once_ = false;
    bool synced_ = false;
    bool last_call_failed_ = false;
    bool has_configuration_ = false;
    bool is_published_ = true;
};

} // namespace plumdale::transport
