#pragma once

#include "forward_core.hpp"

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
    /// \brief A process that has just started has read all there is; within this time it hears from
    /// its peers who watches. All of a fleet that started together watched three times each before.
    static constexpr state::duration first_watch_pause = std::chrono::milliseconds{500};
    static constexpr state::duration watch_wait = std::chrono::milliseconds{600};
    /// \brief Beyond the wait; the store answers in 4 ms, and 60 times later on a slow day.
    static constexpr state::duration answer_time = std::chrono::milliseconds{700};
    static constexpr state::duration first_retry = std::chrono::milliseconds{150};
    /// \brief Nothing is published before the first start; all entry VMs ask then.
    static constexpr state::duration unpublished_retry = std::chrono::milliseconds{400};
    static constexpr state::duration longest_retry = std::chrono::milliseconds{900};
    /// \brief How often an entry VM that is no reader looks whether it has to be one.
    static constexpr state::duration duty_check = std::chrono::milliseconds{100};
    /// \brief When a peer follows a newer configuration, entry VMs read it from the store within
    /// this time: from the two that had it first it would take seconds over links of 10 Mbit/s.
    static constexpr state::duration read_once_spread = std::chrono::milliseconds{80};
    /// \brief An outage this long may have let upstreams' entries lapse: three of their heartbeats
    /// of 1.2 s, less one.
    static constexpr state::duration lapse_outage = std::chrono::milliseconds{2'000};

private:
    void step();
    void step_in(state::duration time);
    void read_configuration();
    void read_list(std::string const& page);
    void watch();
    void read_newer(protocol::store_read kind, std::function<void()> const& otherwise);
    void call(std::string target, state::duration timeout, fetch_handler handler);
    void note_duty(bool reads);
    void succeeded();
    void failed(std::string_view what, state::result<fetch_answer> const& answer);

    forward_core& core_;
    fetcher fetcher_;
    net::steady_timer timer_;
    std::vector<state::service_member> listed_;
    std::vector<protocol::unusable_entry> unusable_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t after_ = 0;
    state::time_point last_read_{};
    state::duration retry_ = first_retry;
    bool reads_ = false;
    bool reading_once_ = false;
    bool synced_ = false;
    bool lost_ = false;
    bool has_configuration_ = false;
    bool has_started_ = false;
};

} // namespace plumdale::transport
