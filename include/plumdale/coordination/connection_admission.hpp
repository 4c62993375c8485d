#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Which new connections of callers an entry VM takes.

namespace plumdale::coordination
{

/// \brief What an entry VM has in hand.
struct connection_load
{
    /// \brief Open connections of callers.
    std::size_t connections = 0;
    /// \brief Those whose call has begun to arrive and is not complete.
    std::size_t reading = 0;
    std::size_t calls = 0;
    /// \brief Calls that peers send to upstreams for this VM, and live peers.
    std::size_t calls_through_peers = 0;
    std::size_t peers = 0;
    /// \brief This VM reaches no upstream itself.
    bool is_path_lost = false;
    /// \brief How late the loop's tasks run.
    state::duration loop_lag{};
};

/// \brief Why a new connection is closed before anything is read from it.
enum class connection_refusal : std::uint8_t
{
    none,
    descriptors, ///< Those left are for upstreams, peers and the store.
    queue,       ///< Connections have waited for longer than callers should.
    lag,         ///< The loop has more work than processor time.
    reading,     ///< Many calls arrive at once, each the slower for it.
    link,        ///< The VM's link is nearly full.
    peers        ///< Peers send as many calls for this VM as they should.
};

[[nodiscard]] std::string_view to_text(connection_refusal why) noexcept;

/// \brief Capacity of an entry VM; zero where it is unknown.
struct connection_capacity
{
    std::size_t descriptors = 0;
    double link_bytes_per_second = 0.0;
};

/// \brief Decides whether to take a new connection, and how many at a time.
///
/// A call that was read is served or refused here, with what its caller has left of its time. A
/// connection that is closed unread costs little, and its caller tries another VM at once. So
/// connections beyond what the VM can serve are closed, and calls on those that it has go on.
/// Example:
/// \code
/// connection_admission admission{{4'100, 1.25e6}};
/// admission.begin_turn(now);
/// for (std::size_t i = 0; i < admission.batch(); ++i) { use(admission.decide(load, now)); }
/// \endcode
class connection_admission
{
public:
    explicit connection_admission(connection_capacity const& capacity) noexcept
        : capacity_{capacity}
    {
    }

    /// \brief Records that no connection waits to be accepted.
    void queue_empty(state::time_point now) noexcept;
    /// \brief Begins to accept up to `batch` connections; the loop's other work ran since the last
    /// turn.
    void begin_turn(state::time_point now) noexcept;
    /// \brief Returns how many connections to accept before the loop's other work runs.
    [[nodiscard]] std::size_t batch() const noexcept
    {
        return batch_;
    }
    /// \brief Returns why the next connection is closed unread, or `none` if it is taken.
    [[nodiscard]] connection_refusal decide(connection_load const& load,
                                            state::time_point now) const noexcept;
    /// \brief Records bytes of a call that are sent on.
    void note_sent(std::size_t bytes, state::time_point now) noexcept;

    /// \brief Longest time that connections wait to be accepted: callers with little time give up
    /// after a third of it.
    static constexpr state::duration max_queue_time = std::chrono::milliseconds{150};
    static constexpr state::duration max_loop_lag = std::chrono::milliseconds{250};
    /// \brief Time for the loop's other work between two turns; with more, fewer are accepted.
    static constexpr state::duration target_turn_time = std::chrono::milliseconds{40};
    static constexpr std::size_t max_batch = 16;
    static constexpr std::size_t max_reading = 64;
    /// \brief Share of the descriptors that callers' connections and calls leave to the rest, and
    /// its least number.
    static constexpr std::size_t reserved_divisor = 4;
    static constexpr std::size_t min_reserved = 24;
    /// \brief Share of the link that calls may fill: heartbeats and answers need the rest.
    static constexpr double max_link_share = 0.7;
    /// \brief Time over which the use of the link is averaged.
    static constexpr state::duration link_window = std::chrono::milliseconds{250};
    /// \brief Calls that a peer sends for this VM, and least and most of all peers together.
    static constexpr std::size_t calls_per_peer = 8;
    static constexpr std::size_t min_calls_through_peers = 64;
    static constexpr std::size_t max_calls_through_peers = 512;

private:
    [[nodiscard]] bool has_descriptors_for(connection_load const& load) const noexcept;
    [[nodiscard]] bool is_link_full(state::time_point now) const noexcept;

    connection_capacity capacity_;
    state::time_point queue_empty_at_{};
    state::time_point turn_began_at_{};
    std::size_t batch_ = max_batch;
    /// \brief Bytes sent, each weighted by its age.
    double recent_bytes_ = 0.0;
    state::time_point sent_at_{};
};

} // namespace plumdale::coordination
