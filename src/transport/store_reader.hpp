#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/store_position_tracker.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>
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
    /// \brief Reads the configuration once, also where this VM is no reader; `on_not_newer` is
    /// called when the store does not give it.
    void read_once(std::function<void()> on_not_newer);
    /// \brief Returns when the store last answered well.
    [[nodiscard]] state::time_point last_read() const noexcept
    {
        return last_read_;
    }

    /// \brief Returns whether the last call to the store failed.
    [[nodiscard]] bool last_call_failed() const noexcept
    {
        return last_call_failed_;
    }

    /// \brief Upstreams write to the store several times a second and each write ends a wait, so
    /// waits are spaced: each call is paid for, and a notice of departure lasts 1.5 s.
    static constexpr state::duration watch_pause = std::chrono::milliseconds{150};
    static constexpr state::duration watch_wait = std::chrono::milliseconds{600};
    /// \brief Beyond the wait; the store answers in 4 ms, and 60 times later on a slow day.
    static constexpr state::duration answer_timeout = std::chrono::milliseconds{700};
    static constexpr state::duration initial_retry_delay = std::chrono::milliseconds{150};
    /// \brief Nothing is published before the first start; the seeds ask then, and tell the others.
    static constexpr state::duration unpublished_seed_retry_delay = std::chrono::milliseconds{400};
    /// \brief ... who ask themselves this seldom, should no seed be there.
    static constexpr state::duration unpublished_peer_retry_delay = std::chrono::seconds{2};
    static constexpr state::duration max_retry_delay = std::chrono::milliseconds{900};
    /// \brief Entry VMs that may ask a silent store at this pace; more ask more seldom in turn, so
    /// that a store that returns isn't met by hundreds at once.
    static constexpr std::size_t max_full_rate_requesters = 8;
    static constexpr state::duration max_shared_retry_delay = std::chrono::seconds{6};
    /// \brief How often an entry VM that is no reader looks whether it has to be one.
    static constexpr state::duration role_check_interval = std::chrono::milliseconds{100};
    /// \brief Entry VMs that no peer gives a newer configuration read it within this time.
    static constexpr state::duration read_once_jitter = std::chrono::milliseconds{80};
    /// \brief An outage this long may have let upstreams' entries lapse: three of their heartbeats
    /// of 1.2 s, less one.
    static constexpr state::duration expiry_outage = std::chrono::milliseconds{2'000};
    /// \brief Time that operators and upstreams have to write again what a store that came back
    /// from a copy has lost: three heartbeats of upstreams.
    static constexpr state::duration rewrite_time = std::chrono::milliseconds{3'600};

private:
    void step();
    void schedule_step(state::duration time);
    void bootstrap();
    void retry_unpublished();
    void read_operator_entries(protocol::read_consistency consistency, std::string const& page);
    void apply_operator_entries(protocol::read_consistency consistency);
    void read_list(protocol::read_consistency consistency, std::string const& page);
    void apply_list(protocol::read_consistency consistency);
    void watch();
    void read_newer(protocol::read_consistency consistency,
                    std::function<void()> const& on_not_newer);
    void call(std::string target, state::duration timeout, fetch_handler handler);
    /// \brief Calls the store, and starts over instead of `handler` where it has come back from a
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

    forward_core& core_;
    fetcher fetcher_;
    net::steady_timer timer_;
    std::vector<state::service_member> listed_;
    std::vector<protocol::unusable_entry> unusable_;
    std::uint64_t list_revision_ = 0;
    /// \brief Pages read so far of what the operators wrote, as one.
    protocol::store_page operator_entries_;
    coordination::store_position_tracker position_tracker_;
    /// \brief The store's own revision from which it is watched.
    std::uint64_t watch_revision_ = 0;
    /// \brief When all is read once more after the store came back from a copy.
    state::time_point reread_at_ = state::never;
    bool restart_pending_ = false;
    state::time_point last_read_{};
    state::duration retry_delay_ = initial_retry_delay;
    bool had_reader_role_ = false;
    bool reading_once_ = false;
    bool synced_ = false;
    bool last_call_failed_ = false;
    bool has_configuration_ = false;
    bool is_published_ = true;
};

} // namespace plumdale::transport
