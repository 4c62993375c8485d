#pragma once

#include "connection_failure.hpp"
#include "decision_log.hpp"
#include "departure_tracker.hpp"
#include "directory_change_log.hpp"
#include "fleet_traffic.hpp"
#include "forward_metrics.hpp"
#include "held_answer.hpp"
#include "limit_tracker.hpp"
#include "net.hpp"
#include "quarantine_tracker.hpp"
#include "reach_prober.hpp"
#include "unreadable_entry_log.hpp"
#include "upstream_orders.hpp"
#include "upstream_pool.hpp"

#include <plumdale/coordination/cold_upstream_limiter.hpp>
#include <plumdale/coordination/fleet_retry_budget.hpp>
#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/load_parts.hpp>
#include <plumdale/coordination/load_update_queue.hpp>
#include <plumdale/coordination/outlier_detector.hpp>
#include <plumdale/coordination/peer_selector.hpp>
#include <plumdale/coordination/refusal_bounds.hpp>
#include <plumdale/coordination/route_outcomes.hpp>
#include <plumdale/coordination/routing_table.hpp>
#include <plumdale/coordination/selection_hints.hpp>
#include <plumdale/coordination/send_gate.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/slack_sharing.hpp>
#include <plumdale/coordination/upstream_backoffs.hpp>
#include <plumdale/coordination/upstream_reach.hpp>
#include <plumdale/coordination/upstream_selector.hpp>
#include <plumdale/coordination/wait_forecast.hpp>
#include <plumdale/coordination/waiting_calls.hpp>
#include <plumdale/protocol/dialect.hpp>
#include <plumdale/protocol/forward_settings.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

/// \file
/// \brief What the parts of a forwarding entry VM share.

namespace plumdale::transport
{

/// \brief How much of the list of upstreams this VM has read since its start.
enum class list_coverage : std::uint8_t
{
    none,
    partial,
    whole
};

/// \brief State and decisions of one forwarding entry VM; used on one loop.
class forward_core
{
public:
    forward_core(net::io_context& loop, protocol::forward_settings const& process_settings,
                 protocol::dialect const& platform_dialect, decision_log& logger);
    forward_core(forward_core const&) = delete;
    forward_core& operator=(forward_core const&) = delete;
    ~forward_core() = default;

    // -- what this VM knows ------------------------------------------------------------
    /// \brief Applies a configuration as published; returns whether it is newer than the one known.
    bool apply_configuration(std::string text, std::string_view source);
    /// \brief Returns the version in force here; zero before there is one.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return routing == nullptr ? 0 : routing->configuration().version;
    }
    /// \brief Applies changed settings of the load parts.
    void allow_parts(coordination::load_part_settings const& allowed);
    /// \brief Merges entries of upstreams; queues those that changed for peers.
    void apply_members(std::span<state::service_member const> members, std::string_view source);
    /// \brief Applies entries that can't be used: their upstreams get no new work.
    void apply_unusable_entries(std::span<protocol::unusable_entry const> entries,
                                std::string_view source);
    /// \brief Applies a part of the list that this VM reads at its start: calls can be routed to
    /// what is known.
    void apply_list_part(std::span<state::service_member const> members,
                         std::span<protocol::unusable_entry const> unusable,
                         std::string_view source);
    /// \brief Records that the parts applied so far are the whole list.
    void mark_list_whole() noexcept;
    /// \brief Applies a complete list as of `revision`: upstreams that it lacks are gone.
    void apply_list(std::span<state::service_member const> members,
                    std::span<protocol::unusable_entry const> unusable, std::uint64_t revision,
                    std::string_view source);
    /// \brief Applies the complete set of orders of evacuation as of a revision.
    void apply_evacuations(state::evacuations const& received, std::string_view source);
    /// \brief Applies changes of orders that the watch of the store reports up to revision `as_of`.
    void apply_evacuation_changes(std::span<protocol::evacuation_order const> received_orders,
                                  std::uint64_t as_of, std::string_view source);
    /// \brief Applies what an answer of any kind states about the upstream that sent it.
    void apply_statement(state::member_key member, protocol::upstream_statement const& statement);
    /// \brief Drops what is known of an upstream after another incarnation answered at its address.
    void on_member_replaced(state::member_key member);
    /// \brief Writes the log lines of changes that are due.
    void flush_change_log(state::time_point now);
    /// \brief Returns whether calls can be routed: there is a configuration and at least a part of
    /// the list of upstreams.
    [[nodiscard]] bool can_route() const noexcept
    {
        return routing != nullptr && coverage != list_coverage::none;
    }

    /// \brief Returns a zone's name, or its number where no listed upstream is in it.
    [[nodiscard]] std::string name_of(state::zone_id zone) const;
    /// \brief Returns how old this VM's knowledge of the platform is.
    [[nodiscard]] state::duration platform_age(state::time_point now) const;

    /// \brief Returns how many calls of all VMs run at a service's upstreams.
    [[nodiscard]] std::size_t running_calls(state::service const& service) const;
    /// \brief Returns the VM that tries a refused part of prompts again.
    [[nodiscard]] state::node_id choose_trial_vm(state::prompt_part part) const;
    /// \brief Reserves one retry of a service's budget; returns false when none is left.
    [[nodiscard]] bool reserve_retry(std::string const& service,
                                     coordination::retry_priority priority);
    /// \brief A reserved retry is sent, by this VM or by one that a call is handed to.
    void spend_retry(std::string const& service);
    /// \brief A reserved retry is not needed.
    void release_retry(std::string const& service);
    void note_call(std::string const& service);
    /// \brief Returns how long calls of a route wait for capacity at this VM.
    [[nodiscard]] coordination::wait_forecast& forecast_of(state::route const& route);
    /// \brief Logs that a call is sent once more, and what its service's budget was at that time.
    void log_repeat(std::string_view id, std::string const& service, std::string_view kind);

    // -- paths to upstreams ------------------------------------------------------------
    /// \brief Records that a connection to an upstream was opened.
    void note_connected(state::member_key member);
    /// \brief Records bytes that came on an idle connection to an upstream.
    void note_unasked(state::member_key member, std::string_view bytes);
    /// \brief Records that a connection to an upstream could not be opened.
    void note_connection_failed(state::member_key member, connection_failure failure);
    /// \brief Records that an upstream sent anything.
    void note_answered(state::member_key member);
    /// \brief Records how a connection to an upstream failed, for all VMs.
    void note_finding(state::member_key member, connection_failure failure);
    /// \brief Connects to an upstream whose connection broke, to see whether it is gone.
    void probe_in_doubt(state::member_key member);
    /// \brief Records that a connection to an upstream is being opened, or no longer.
    void note_connecting(state::member_key member, bool begins);
    /// \brief Returns whether this VM reaches some zones and not others, as its peers do.
    [[nodiscard]] bool is_any_zone_cut(state::time_point now) const;
    /// \brief Returns whether an upstream's zone is one that this VM doesn't reach.
    [[nodiscard]] bool is_zone_cut(state::member_key member, state::time_point now) const;
    [[nodiscard]] std::vector<state::zone_id> cut_zones(state::time_point now) const;
    /// \brief Probes and logs zones that may be cut off.
    void advance_zones(state::time_point now);
    /// \brief Logs which upstreams became suspected or no longer are.
    void log_suspicions(state::time_point now);

    net::io_context& context;
    protocol::forward_settings const& settings;
    protocol::dialect const& dialect;
    decision_log& log;
    forward_metrics metrics;
    fleet_traffic traffic;
    /// \brief This VM's identifier among its peers.
    state::node_id const self;
    /// \brief This VM is a seed, through which the others find the fleet.
    bool const is_seed;
    coordination::route_outcomes outcomes;
    std::minstd_rand random;
    coordination::service_directory directory;
    coordination::load_ledger ledger;
    coordination::outlier_detector health;
    coordination::fleet_view fleet;
    coordination::cold_upstream_limiter cold_limiter;
    /// \brief Requests per second that upstreams take.
    limit_tracker limits;
    /// \brief Refusals per second that brittle upstreams bear.
    limit_tracker refusal_limits;
    coordination::refusal_bounds refusals;
    coordination::upstream_backoffs backoffs;
    coordination::send_gate gate;
    coordination::upstream_subset subset;
    /// \brief Which parts are on under the configuration in force.
    coordination::load_parts parts;
    coordination::upstream_speeds speeds;
    coordination::upstream_suspicions suspicions;
    coordination::zone_reach zones;
    coordination::waiting_calls waiting;
    /// \brief Knowledge of the parts that are on.
    coordination::selection_hints hints;
    coordination::upstream_selector selector;
    quarantine_tracker quarantine;
    upstream_pool pool;
    coordination::upstream_reach reach;
    reach_prober prober;
    coordination::peer_selector peers;
    /// \brief Kept connections to peers that take this VM's calls.
    upstream_pool peer_pool;
    upstream_orders orders;
    departure_tracker departures;
    std::shared_ptr<coordination::routing_table const> routing;
    /// \brief The configuration as published, for peers that request it.
    std::string configuration_text;
    /// \brief The previous configuration, from which peers' patches are made.
    std::string former_text;
    std::uint64_t former_version = 0;
    /// \brief The platform's revision of the newest whole list.
    std::uint64_t list_revision = 0;
    list_coverage coverage = list_coverage::none;
    /// \brief When this VM last read the platform's store itself.
    state::time_point last_platform_read{};
    /// \brief Reads of the store's current state by this process.
    std::uint64_t store_reads = 0;
    /// \brief This VM is a reader and has read the store.
    bool is_active_reader = false;
    /// \brief When SIGTERM came; `never` before.
    state::time_point closing_since = state::never;
    /// \brief Changed upstreams that have not been reported to peers.
    std::vector<state::service_member> unreported;
    /// \brief Those of the list that was read at the start: all other VMs read one too.
    std::vector<state::service_member> unreported_at_start;
    std::uint32_t calls_in_progress = 0;
    /// \brief Answers that are held until they are whole.
    answer_memory answers_held;
    /// \brief Those that peers sent.
    std::uint32_t peer_calls_in_progress = 0;
    /// \brief Those that peers send to upstreams for this VM.
    std::uint32_t calls_through_peers = 0;
    /// \brief How late the last of the loop's periodic tasks ran.
    state::duration loop_lag{};
    /// \brief Called when a generation began at an upstream, had its first event or ended there:
    /// peers select upstreams by that load.
    std::function<void(state::member_key)> on_load_changed = [](state::member_key /*member*/) {
    };
    /// \brief Called when bytes of a call are sent to an upstream or a peer.
    std::function<void(std::size_t)> on_call_bytes = [](std::size_t /*bytes*/) {
    };
    /// \brief Called when this VM read a newer configuration as a reader of the store.
    std::function<void()> on_configuration_read = [] {
    };
    /// \brief Called when this VM read an order of evacuation or its revocation.
    std::function<void()> on_evacuations_read = [] {
    };
    /// \brief Called when this VM could not connect to an upstream.
    std::function<void()> on_finding = [] {
    };

private:
    void apply_member(state::service_member const& member, std::string_view source);
    void apply_unusable_entry(protocol::unusable_entry const& entry, std::string_view source);
    void mark_leaving(state::member_key member);
    void begin_backoff(state::member_key member, state::duration time);
    /// \brief Logs a change of an upstream, queues it for peers, and notifies calls of a departure.
    void on_member_changed(coordination::directory_change change, state::member_key member,
                           std::string_view source);
    void note_directory_change(std::uint64_t former_digest);
    void on_member_restarted(state::member_key former, state::member_key latest,
                             std::string_view source);
    void apply_reported_start(state::member_key member, state::incarnation started);
    void report_evacuations(std::span<state::evacuation_change const> changes,
                            std::string_view source);
    /// \brief Returns how many upstreams take work, up to `upstream_reach::min_failed`.
    [[nodiscard]] std::size_t usable_upstreams(state::time_point now) const;
    [[nodiscard]] state::zone_id zone_of(state::member_key member) const;
    void log_zones(state::time_point now);
    void forget_failures(state::zone_id zone);
    coordination::fleet_retry_budget& retry_budget_of(std::string const& service);
    /// \brief Switches parts on or off as settings and the configuration in force ask.
    void configure_parts(coordination::load_part_settings const& allowed);

    directory_change_log change_log_;
    unreadable_entry_log unreadable_log_;
    state::time_point started_at_;
    coordination::slack_sharing slack_sharing_;
    std::unordered_map<std::string, coordination::fleet_retry_budget> retry_budgets_;
    std::unordered_map<std::string, coordination::wait_forecast> forecasts_;
};

} // namespace plumdale::transport
