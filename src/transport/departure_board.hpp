#pragma once

#include "decision_log.hpp"
#include "net.hpp"

#include <plumdale/coordination/copy_schedule.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/protocol/dialect.hpp>

#include <functional>
#include <unordered_map>
#include <unordered_set>

/// \file
/// \brief Which upstreams leave and when, and the calls that are told.

namespace plumdale::transport
{

/// \brief A call that is told of its upstream's departure.
class departure_listener
{
public:
    departure_listener() = default;
    departure_listener(departure_listener const&) = delete;
    departure_listener& operator=(departure_listener const&) = delete;
    virtual ~departure_listener() = default;

    virtual void member_leaves(state::member_key member, coordination::departure const& when) = 0;
    /// \brief The upstream started again: nothing that ran or was kept at this start is there.
    virtual void member_lost(state::member_key member) = 0;
    /// \brief Nothing more is to be sent to the upstreams of a zone; what runs there runs on.
    virtual void zone_evacuated(state::zone_id zone) = 0;
};

/// \brief Notes departures, asks leaving upstreams when they will be gone, and tells calls; on one
/// loop.
class departure_board
{
public:
    /// \brief Called with the start that an upstream's own report tells.
    using start_handler = std::function<void(state::member_key, state::incarnation)>;

    departure_board(net::io_context& context, protocol::dialect const& dialect,
                    coordination::service_directory const& directory,
                    coordination::load_ledger const& ledger, decision_log& log,
                    start_handler started);

    void listen(departure_listener& listener);
    void forget(departure_listener& listener);
    /// \brief Returns the departure of an upstream; null when none is known.
    [[nodiscard]] coordination::departure const* find(state::member_key member) const;

    /// \brief Notes that an upstream leaves or is gone; returns whether that is news.
    bool departs(state::member_key member);
    /// \brief Tells calls that an upstream started again.
    void lost(state::member_key former);
    /// \brief Tells calls that a zone's upstreams get nothing more.
    void evacuated(state::zone_id zone);
    /// \brief Drops departures of upstreams that the directory has forgotten.
    void sweep();

private:
    void ask_later(state::member_key member);
    void ask(state::member_key member);
    void take_report(state::member_key member,
                     state::result<protocol::member_report> const& report);
    void tell(state::member_key member);
    void tell_listeners(std::function<void(departure_listener&)> const& tell);

    net::io_context& context_;
    protocol::dialect const& dialect_;
    coordination::service_directory const& directory_;
    coordination::load_ledger const& ledger_;
    decision_log& log_;
    start_handler started_;
    std::unordered_map<state::member_key, coordination::departure> departures_;
    std::unordered_set<departure_listener*> listeners_;
};

} // namespace plumdale::transport
