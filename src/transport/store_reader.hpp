#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/store_history.hpp>

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
    /// \brief Reads the configuration once, also where this VM is no reader; `otherwise` is called
    /// when the store does not give it.
    void read_once(std::function<void()> otherwise);
    /// \brief Returns when the store last answered well.
    [[nodiscard]] state::time_point last_read() const noexcept
    {
        return last_read_;
    }

    /// \brief Returns whether the last call to the store failed.
    [[nodiscard]] bool is_lost() const noexcept
    {
        return lost_;
    }

    /// \brief Upstreams write to the store several times a second and each write ends a wait, so
    /// waits are spaced: each call is paid for, and a notice of departure lasts 1.5 s.
    static constexpr state::duration watch_pause = std::chrono::milliseconds{150};
    static constexpr state::duration watch_wait = std::chrono::milliseconds{600};
    /// \brief Beyond the wait; the store answers in 4 ms, and 60 times later on a slow day.
    static constexpr state::duration answer_time = std::chrono::milliseconds{700};
    static constexpr state::duration first_retry = std::chrono::milliseconds{150};
    /// \brief Nothing is published before the first start; the seeds ask then, and tell the others.
    static constexpr state::duration unpublished_retry = std::chrono::milliseconds{400};
    /// \brief ... who ask themselves this seldom, should no seed be there.
    static constexpr state::duration unpublished_patience = std::chrono::seconds{2};
    static constexpr state::duration longest_retry = std::chrono::milliseconds{900};
    /// \brief Entry VMs that may ask a silent store at this pace; more ask more seldom in turn, so
    /// that a store that returns isn't met by hundreds at once.
    static constexpr std::size_t askers = 8;
    static constexpr state::duration longest_shared_retry = std::chrono::seconds{6};
    /// \brief How often an entry VM that is no reader looks whether it has to be one.
    static constexpr state::duration duty_check = std::chrono::milliseconds{100};
    /// \brief Entry VMs that no peer gives a newer configuration read it within this time.
    static constexpr state::duration read_once_spread = std::chrono::milliseconds{80};
    /// \brief An outage this long may have let upstreams' entries lapse: three of their heartbeats
    /// of 1.2 s, less one.
    static constexpr state::duration lapse_outage = std::chrono::milliseconds{2'000};
    /// \brief Time that operators and upstreams have to write again what a store that came back
    /// from a copy has lost: three heartbeats of upstreams.
    static constexpr state::duration rewriting = std::chrono::milliseconds{3'600};

private:
    void step();
    void step_in(state::duration time);
    void learn();
    void not_published();
    void read_operators(protocol::store_read kind, std::string const& page);
    void take_operators(protocol::store_read kind);
    void read_list(protocol::store_read kind, std::string const& page);
    void take_list(protocol::store_read kind);
    void watch();
    void read_newer(protocol::store_read kind, std::function<void()> const& otherwise);
    void call(std::string target, state::duration timeout, fetch_handler handler);
    /// \brief Calls the store, and starts over instead of `handler` where it has come back from a
    /// copy.
    void read(std::string target, state::duration timeout, fetch_handler handler);
    void note_era(state::result<fetch_answer> const& answer);
    /// \brief Replaces the revisions in a page by positions in the store's history.
    void place(protocol::store_page& page, protocol::store_read kind);
    [[nodiscard]] state::result<protocol::store_page>
    page_in(state::result<fetch_answer> const& answer, protocol::store_read kind);
    void note_duty(bool reads);
    void succeeded(protocol::store_read kind);
    [[nodiscard]] state::duration spread(state::duration time);
    [[nodiscard]] std::size_t others_asking() const;
    void failed(std::string_view what, state::result<fetch_answer> const& answer);

    forward_core& core_;
    fetcher fetcher_;
    net::steady_timer timer_;
    std::vector<state::service_member> listed_;
    std::vector<protocol::unusable_entry> unusable_;
    std::uint64_t list_revision_ = 0;
    /// \brief Pages read so far of what the operators wrote, as one.
    protocol::store_page operators_;
    coordination::store_history history_;
    /// \brief The store's own revision from which it is watched.
    std::uint64_t after_ = 0;
    /// \brief When all is read once more after the store came back from a copy.
    state::time_point reread_at_ = state::never;
    bool starts_over_ = false;
    state::time_point last_read_{};
    state::duration retry_ = first_retry;
    bool reads_ = false;
    bool reading_once_ = false;
    bool synced_ = false;
    bool lost_ = false;
    bool has_configuration_ = false;
    bool is_published_ = true;
};

} // namespace plumdale::transport
