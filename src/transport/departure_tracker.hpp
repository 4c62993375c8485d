#pragma once

#include "decision_log.hpp"
#include "net.hpp"
#include "upstream_orders.hpp"

#include <plumdale/coordination/copy_schedule.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/send_proof.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/protocol/dialect.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>

/// \file
/// \brief Which upstreams leave and when, and the calls that are notified.

namespace plumdale::transport
{

/// \brief A call that is notified when its upstream leaves, restarts or is evacuated.
class departure_listener
{
public:
    departure_listener() = default;
    departure_listener(departure_listener const&) = delete;
    departure_listener& operator=(departure_listener const&) = delete;
    virtual ~departure_listener() = default;

    virtual void on_member_leaving(state::member_key member,
                                   coordination::departure const& when) = 0;
    /// \brief The upstream restarted: nothing that this incarnation ran or stored is left.
    virtual void on_member_restarted(state::member_key member, coordination::run_ended proof) = 0;
    /// \brief Nothing more may be sent to the upstreams of a zone; what runs there continues.
    virtual void on_zone_evacuated(state::zone_id zone) = 0;
};

/// \brief Records departures, asks leaving upstreams for the time of their departure, and notifies
/// calls; used on one loop.
class departure_tracker
{
public:
    /// \brief Called with the incarnation that an upstream's own report states.
    using restart_handler = std::function<void(state::member_key, state::incarnation)>;

    departure_tracker(net::io_context& context, protocol::dialect const& dialect,
                      coordination::service_directory const& directory,
                      coordination::load_ledger const& ledger, upstream_orders& orders,
                      decision_log& log, restart_handler on_restart);

    void add_listener(departure_listener& listener);
    void remove_listener(departure_listener& listener);
    /// \brief Returns the departure of an upstream; null when none is known.
    [[nodiscard]] coordination::departure const* find(state::member_key member) const;

    /// \brief Records that an upstream leaves or is gone; returns whether that was unknown before.
    bool record_departure(state::member_key member);
    /// \brief Notifies calls that an upstream restarted.
    void notify_restart(state::member_key former, coordination::run_ended proof);
    /// \brief Asks an upstream whether it restarted, as an entry says that anybody may have
    /// written, and notifies calls if it did. It is asked until it answers or no generation of this
    /// VM runs there.
    void ask_restart(state::member_key former);
    /// \brief Notifies calls that nothing more may be sent to a zone's upstreams.
    void notify_evacuation(state::zone_id zone);
    /// \brief Drops departures of upstreams that the directory has forgotten.
    void sweep();

private:
    void schedule_report_request(state::member_key member);
    void request_report(state::member_key member);
    void ask_restart(state::member_key former, std::chrono::milliseconds pause);
    void send_restart_question(state::member_key former);
    void on_restart_answer(state::member_key former, state::incarnation before,
                           state::result<fetch_answer> const& answer);
    /// \brief Returns what an upstream's answer proves of the incarnation that started `before`.
    [[nodiscard]] std::optional<coordination::run_ended>
    restart_proof(state::result<fetch_answer> const& answer, state::incarnation before) const;
    void apply_report(state::member_key member,
                      state::result<protocol::member_report> const& report);
    void notify(state::member_key member);
    void notify_listeners(std::function<void(departure_listener&)> const& notify);

    net::io_context& context_;
    protocol::dialect const& dialect_;
    coordination::service_directory const& directory_;
    coordination::load_ledger const& ledger_;
    upstream_orders& orders_;
    decision_log& log_;
    restart_handler on_restart_;
    std::unordered_map<state::member_key, coordination::departure> departures_;
    /// \brief Upstreams that are being asked whether they restarted.
    std::unordered_set<state::member_key> asked_for_restart_;
    std::unordered_set<departure_listener*> listeners_;
};

} // namespace plumdale::transport
