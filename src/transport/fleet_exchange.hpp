#pragma once

#include "configuration_exchange.hpp"
#include "directory_exchange.hpp"
#include "forward_core.hpp"
#include "load_exchange.hpp"
#include "speed_tracker.hpp"

#include <plumdale/coordination/evidence_exchange.hpp>
#include <plumdale/coordination/membership.hpp>
#include <plumdale/coordination/node_settings.hpp>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

/// \file
/// \brief Membership and state updates between forwarding entry VMs.

namespace plumdale::transport
{

/// \brief Functions by which the exchange uses the platform's store.
struct store_callbacks
{
    /// \brief Returns when this VM last read the store itself, or none while it can't.
    std::function<std::optional<state::time_point>()> last_read;
    /// \brief Reads the configuration once; calls its argument if the store has no newer one.
    std::function<void(std::function<void()> on_not_newer)> read_configuration;
    /// \brief Reads configuration, orders and the whole list once.
    std::function<void()> read_all;
};

/// \brief Sends peers what this VM has in flight and has learnt, applies their updates, and fetches
/// from them what it lacks.
class fleet_exchange
{
public:
    fleet_exchange(forward_core& core, net::ip::udp::socket socket, state::endpoint streams,
                   store_callbacks store);

    void start();
    /// \brief Sends and requests what is due; called several times a second.
    void advance();
    /// \brief Requests from peers what this VM missed while its process did not run.
    void resume_after_pause();
    /// \brief Broadcasts a newer configuration that this VM read.
    void broadcast_configuration();
    /// \brief Broadcasts the orders of evacuation that this VM read.
    void broadcast_evacuations();
    /// \brief Returns the response body for a peer that requests the configuration at `target`.
    [[nodiscard]] std::string configuration_for(std::string_view target);
    /// \brief Returns the response body for a peer that requests upstreams with `request_body`.
    [[nodiscard]] std::string directory_for(std::string_view request_body);
    /// \brief Returns the response body for a peer that checks what it knows.
    [[nodiscard]] std::string answer_to_check() const;
    /// \brief Sends this VM's changed load at an upstream at once, as far as the budget allows.
    void announce_load(state::member_key member);
    /// \brief Broadcasts new evidence on requests that end upstreams, if there is any.
    void announce_evidence();
    /// \brief Broadcasts new limits that upstreams state, if there are any.
    void announce_limits();
    /// \brief Broadcasts what this VM found at upstreams, if there is anything new.
    void announce_suspicions();
    /// \brief Announces that this VM leaves the fleet.
    void leave();

    /// \brief The first byte of a datagram says which codec reads the rest.
    static constexpr char membership_tag = 'm';
    static constexpr char update_tag = 'n';

private:
    void receive();
    void on_datagram(std::size_t bytes);
    void note_heard(state::time_point now);
    void process_update(coordination::fleet_update const& update, state::endpoint from);
    void apply_members(coordination::fleet_update const& update);
    void apply_findings(coordination::fleet_update const& update);
    void advance_suspicions(state::time_point now);
    /// \brief Returns the VMs that count as live, with their zones.
    [[nodiscard]] std::vector<coordination::zoned_vm> zoned_peers() const;
    [[nodiscard]] state::duration reply_delay();
    void receive_peer_message(std::span<char const> text, state::endpoint from);
    void carry_out(coordination::control_actions const& actions);
    void advance_members();
    void send_full_update();
    void send_status();
    void broadcast_limits(limit_tracker& limits,
                          std::vector<state::stated_limit> coordination::fleet_update::*rows);
    void send_confirmed_limits();
    void announce_members();
    void announce_waiting(state::time_point now);
    void record_sent_status(coordination::fleet_update const& update);
    /// \brief Exchanges evidence on requests that end upstreams with a peer whose evidence differs.
    void exchange_evidence(coordination::fleet_update const& received, state::endpoint to);
    void ask_for_evidence(state::endpoint peer);
    /// \brief Catches up with what a peer's answer to a check shows besides the directory.
    void apply_check(state::endpoint peer, coordination::vm_digests const& theirs);
    void send_evidence(state::endpoint to, state::time_point now);
    /// \brief Starts a broadcast, along as many trees as make up for a lost datagram.
    void broadcast(coordination::fleet_update& update);
    /// \brief Sends upstreams and orders to the receivers of a range's branches, which forward
    /// them.
    void forward_update(coordination::fleet_update const& from);
    [[nodiscard]] coordination::fleet_update make_update();
    [[nodiscard]] coordination::fleet_update make_update_with_orders();
    void send(message_kind kind, std::string datagram, state::endpoint to);
    /// \brief Assigns a sequence number to a message and sends it to all of `peers`.
    void send(coordination::fleet_update& update, std::span<state::endpoint const> peers);
    void log_live_peers(state::time_point now);
    void log_traffic(state::time_point now);
    [[nodiscard]] std::vector<state::endpoint> recipients() const;
    [[nodiscard]] std::vector<broadcast_peer> broadcast_peers() const;

    forward_core& core_;
    net::ip::udp::socket socket_;
    net::ip::udp::endpoint sender_;
    std::array<char, 2048> received_{};
    store_callbacks store_;
    coordination::node_settings settings_;
    coordination::membership members_;
    std::uint64_t sequence_ = 0;
    state::time_point next_full_update_at_{};
    /// \brief When a peer's message last came; the epoch before the first.
    state::time_point heard_at_{};
    load_exchange loads_;
    configuration_exchange configurations_;
    bool announced_store_lost_ = false;
    bool announced_is_reader_ = false;
    std::size_t logged_live_count_ = 1;
    state::time_point live_count_logged_at_{};
    state::time_point traffic_logged_at_{};
    coordination::evidence_exchange evidence_;
    directory_exchange directories_;
    speed_tracker speeds_;
};

} // namespace plumdale::transport
