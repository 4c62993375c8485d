#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The order among calls that wait at entry VMs for capacity.

namespace plumdale::coordination
{

/// \brief How many calls of a rank wait at an entry VM, as peers receive it.
struct waiting_row
{
    state::service_key service;
    std::uint8_t rank = 0;
    std::uint16_t calls = 0;
    /// \brief How long the oldest of them has waited.
    state::duration oldest{};
};

/// \brief A call that waits.
struct waiting_call
{
    state::service_key service;
    /// \brief Zero is the most urgent.
    std::uint32_t rank = 0;
    std::string customer;
    /// \brief The last moment at which sending it still serves its caller.
    state::time_point latest{};
    /// \brief Time from its send to its expected end.
    state::duration run{};
    /// \brief Its route, by a hash of the name.
    std::uint64_t route = 0;
};

/// \brief Decides which waiting call is tried next.
///
/// At a VM calls go by rank, then in turn between customers, then by the least slack: the time that
/// is left to send them. A call goes before its turn where that delays nobody who can't bear it: it
/// ends sooner than the one before it has waited, and within that one's slack. Other VMs' calls are
/// known as counts by rank: a call is tried with a probability that falls with the number of those
/// that go before it.
///
/// Example:
/// \code
/// waiting_calls waiting;
/// if (auto const id = waiting.push(call, now)) { ... }
/// if (waiting.is_next(*id, now)) { ... waiting.remove_served(*id); }
/// \endcode
class waiting_calls
{
public:
    /// \brief Records that a call found no capacity, whether it will wait or is refused.
    void note_arrival(waiting_call const& call);
    /// \brief Adds a call and returns its number; none if too many wait.
    [[nodiscard]] std::optional<std::uint64_t> push(waiting_call call, state::time_point now);
    /// \brief Removes a call that left or is refused.
    void remove(std::uint64_t id);
    /// \brief Removes a call that is sent: it used its customer's turn.
    void remove_served(std::uint64_t id);
    /// \brief Returns whether no other call here that could use the same capacity goes before one.
    [[nodiscard]] bool is_next(std::uint64_t id, state::time_point now) const;
    /// \brief Returns how many calls of a service wait here.
    [[nodiscard]] std::size_t own_calls(state::service_key service) const;
    /// \brief Returns whether a call here goes before one that has just arrived.
    [[nodiscard]] bool goes_after_own(waiting_call const& call, state::time_point now) const;
    /// \brief Returns the probability with which a call is tried now, as others go before it at
    /// peers.
    [[nodiscard]] double chance(waiting_call const& call, state::duration waited,
                                std::size_t running, state::time_point now) const;
    /// \brief Returns how many upstreams a call examines at once: all waiting calls of a service
    /// together examine about each one.
    [[nodiscard]] std::size_t candidates(state::service_key service, std::size_t upstreams,
                                         state::time_point now) const;
    /// \brief Returns how many calls, here and at peers, a call that arrives now waits for.
    [[nodiscard]] std::size_t place_of(waiting_call const& call, state::time_point now) const;
    /// \brief Returns how many calls of its route at this VM go before one with this number, or
    /// without one.
    [[nodiscard]] std::size_t calls_before(waiting_call const& call,
                                           std::optional<std::uint64_t> id) const;
    /// \brief Returns whether other calls of its route wait at this VM.
    [[nodiscard]] bool has_others(waiting_call const& call, std::optional<std::uint64_t> id) const;

    /// \brief Records how long a long answer held its capacity.
    void note_held(state::service_key service, state::duration time);
    [[nodiscard]] std::vector<waiting_row> own_rows(state::time_point now) const;
    void apply_update(state::node_id peer, std::span<waiting_row const> rows,
                      state::time_point now);
    /// \brief Returns whether the own rows are to be sent to this many peers now, and takes them as
    /// sent.
    [[nodiscard]] bool take_announcement(std::size_t peers, state::time_point now);
    void forget_old(state::time_point now);
    [[nodiscard]] std::size_t size() const noexcept;

    /// \brief One turn of this many is a lower rank's: no kind of calls may be served less than a
    /// quarter as often as all.
    static constexpr std::uint64_t turns_per_lower_rank = 4;
    /// \brief Most calls that wait for a service at a VM: more than end within a caller's patience.
    static constexpr std::size_t max_calls = 64;
    static constexpr std::size_t max_candidates = 8;
    /// \brief Arrivals by which a customer's part of the demand is known.
    static constexpr std::size_t remembered_arrivals = 64;
    /// \brief Time until peers know of a change. Calls that find capacity within it are tried at
    /// full rate, as nobody knows better who goes first.
    static constexpr state::duration news_age = std::chrono::milliseconds{500};
    /// \brief Time between announcements for each peer: with rows of 14 bytes in datagrams of 97,
    /// 11 KB/s for a VM of any fleet.
    static constexpr state::duration announcement_interval_per_peer = std::chrono::milliseconds{10};
    /// \brief Rows of a VM that was cut off or died count no longer than this.
    static constexpr state::duration row_lifetime = std::chrono::seconds{3};

private:
    struct entry
    {
        std::uint64_t id = 0;
        waiting_call call;
        state::time_point since{};
    };
    struct line
    {
        std::vector<entry> entries;
        /// \brief Calls that were sent from here.
        std::uint64_t turn = 0;
        std::unordered_map<std::string, std::uint64_t> customer_turns;
        /// \brief Customers of the last calls that found no capacity.
        std::deque<std::string> arrivals;
        std::optional<state::duration> mean_held;
    };
    struct peer_rows
    {
        std::vector<waiting_row> rows;
        state::time_point received{};
    };
    /// \brief Calls at peers that go before one.
    struct calls_ahead
    {
        double more_urgent = 0.0;
        double older = 0.0;
    };

    [[nodiscard]] calls_ahead ahead_at_peers(waiting_call const& call, state::duration waited,
                                             state::time_point now) const;
    /// \brief Returns the part of the calls before a customer's call that it has to wait for: less
    /// than one where the others ask for more than it does.
    [[nodiscard]] double part_before(waiting_call const& call) const;
    [[nodiscard]] std::size_t count_of(state::service_key service, state::time_point now) const;
    /// \brief Returns the rank that goes first now.
    [[nodiscard]] static std::uint32_t next_rank(line const& from);
    /// \brief Returns whether one call may go before another whose turn is first.
    [[nodiscard]] static bool may_overtake(waiting_call const& call, entry const& other,
                                           state::time_point now);
    /// \brief Returns whether any call in line keeps this one from being tried.
    [[nodiscard]] static bool is_held_up(line const& in, entry const& asked, state::time_point now);
    [[nodiscard]] static bool goes_before(line const& in, entry const& one, entry const& other);
    [[nodiscard]] line const* find_line(state::service_key service) const;
    [[nodiscard]] entry const* find(std::uint64_t id) const;

    std::unordered_map<state::service_key, line> lines_;
    std::unordered_map<state::node_id, peer_rows> peers_;
    std::uint64_t last_id_ = 0;
    state::time_point announced_at_{};
    bool announced_any_ = false;
};

} // namespace plumdale::coordination
