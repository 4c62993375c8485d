#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which zones' upstreams this entry VM reaches.

namespace plumdale::coordination
{

/// \brief Whether a peer reaches a zone, as its peers receive it.
struct zone_reach_row
{
    state::zone_id zone;
    bool is_reached = true;
    state::duration age{};
};

/// \brief A decision on a zone, for the log.
struct zone_change
{
    state::zone_id zone;
    bool is_cut = false;
    /// \brief Since when its connections fail.
    state::time_point since{};
};

/// \brief Upstreams of a zone that are to be connected to.
struct zone_probes
{
    state::zone_id zone;
    std::size_t count = 0;
};

/// \brief Concludes from connections into each zone whether the zone is cut off.
///
/// Example:
/// \code
/// zones.connection_failed(zone, member, now);
/// for (zone_probes const& due : zones.take_due_probes(live_vms, now)) { probe(due); }
/// if (zones.is_cut(zone, now)) { ... }
/// \endcode
class zone_reach
{
public:
    explicit zone_reach(state::zone_id own_zone) noexcept : own_zone_{own_zone} {}

    /// \brief Records that an upstream of a zone was reached or answered.
    void connected(state::zone_id zone, state::time_point now);
    /// \brief Records that an upstream of a zone could not be connected to.
    void connection_failed(state::zone_id zone, state::member_key member, state::time_point now);
    /// \brief Records that a connection to an upstream of a zone is being opened.
    void connecting(state::zone_id zone, state::member_key member, state::time_point now);
    /// \brief Records that it is no longer: it was opened, failed or given up.
    void connecting_ended(state::zone_id zone, state::member_key member);
    /// \brief Applies what a peer of the own zone says.
    void apply_update(state::node_id peer, state::zone_id peer_zone,
                      std::span<zone_reach_row const> rows, state::time_point now);
    /// \brief Returns whether a zone's upstreams get no first attempts for now.
    [[nodiscard]] bool is_cut(state::zone_id zone, state::time_point now) const;
    [[nodiscard]] bool is_any_cut(state::time_point now) const;
    [[nodiscard]] std::vector<state::zone_id> cut(state::time_point now) const;
    /// \brief Returns and removes what is to be said to peers.
    [[nodiscard]] std::vector<zone_reach_row> unreported(state::time_point now);
    /// \brief Returns the probes that are due in a fleet of `vms`, and counts them as sent.
    [[nodiscard]] std::vector<zone_probes> take_due_probes(std::size_t vms, state::time_point now);
    /// \brief Returns the decisions since the last call.
    [[nodiscard]] std::vector<zone_change> take_changes(state::time_point now);
    /// \brief Called periodically: after a pause of the process its connections begin anew.
    void advance(state::time_point now);

    /// \brief Different upstreams of a zone that must fail without an answer from it.
    static constexpr std::size_t min_failed = 3;
    /// \brief With so many, peers of the own zone are told.
    static constexpr std::size_t min_failed_to_report = 2;
    /// \brief A connection that is open for so long counts as failed; paths take some milliseconds.
    static constexpr state::duration silence_time = std::chrono::milliseconds{150};
    /// \brief Others of the zone are probed once a connection is open for so long, and nothing is
    /// concluded before these had time to answer.
    static constexpr state::duration doubt_time = std::chrono::milliseconds{50};
    /// \brief Failures and what peers say count for this long.
    static constexpr state::duration evidence_lifetime = std::chrono::seconds{2};
    /// \brief Shortest time between two rounds of probes, and that for each VM of the fleet.
    static constexpr state::duration min_probe_interval = std::chrono::milliseconds{250};
    static constexpr state::duration probe_interval_per_vm = std::chrono::milliseconds{20};
    static constexpr std::size_t probes_in_doubt = 3;
    static constexpr state::duration report_interval = std::chrono::milliseconds{500};
    /// \brief A longer time between two calls of `advance` is a pause of the process.
    static constexpr state::duration max_pause = std::chrono::milliseconds{150};
    static constexpr std::size_t max_attempts = 32;

private:
    struct attempt
    {
        state::member_key member;
        /// \brief When it began, or failed.
        state::time_point at{};
    };

    struct statement
    {
        bool is_reached = true;
        state::time_point at{};
    };

    struct zone_state
    {
        std::vector<attempt> failed;
        std::vector<attempt> connecting;
        state::time_point reached_at{};
        state::time_point peers_reached_at{};
        std::unordered_map<state::node_id, statement> said;
        std::optional<bool> reported;
        state::time_point reported_at{};
        state::time_point probed_at{};
        state::time_point cut_since = state::never;
        /// \brief Decided to be cut, and not reached since.
        bool is_held = false;
    };

    /// \brief What speaks for a cut now.
    struct evidence
    {
        std::size_t upstreams = 0;
        std::size_t peers = 0;
        state::time_point first_at = state::never;
    };

    [[nodiscard]] static evidence evidence_of(zone_state const& zone, state::time_point now);
    [[nodiscard]] static bool is_cut(zone_state const& zone, state::time_point now);
    [[nodiscard]] static bool is_in_doubt(zone_state const& zone, state::time_point now);

    state::zone_id own_zone_;
    std::unordered_map<state::zone_id, zone_state> zones_;
    state::time_point advanced_at_{};
};

} // namespace plumdale::coordination
