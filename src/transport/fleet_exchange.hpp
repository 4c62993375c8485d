#pragma once

#include "configuration_exchange.hpp"
#include "forward_core.hpp"

#include <plumdale/coordination/evidence_exchange.hpp>
#include <plumdale/coordination/load_news.hpp>
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
/// \brief Membership and news between forwarding entry VMs.

namespace plumdale::transport
{

/// \brief Tells peers what this VM has in flight and learnt, takes what they tell, and fetches from
/// them what it lacks.
class fleet_exchange
{
public:
    /// \brief `last_read` returns when this VM last read the platform's store itself, none while it
    /// can't; `read_store` reads the configuration there, for what no peer gives.
    fleet_exchange(forward_core& core, net::ip::udp::socket socket, state::endpoint streams,
                   std::function<std::optional<state::time_point>()> last_read,
                   std::function<void(std::function<void()>)> read_store);

    void start();
    /// \brief Does what is due; called several times a second.
    void advance();
    /// \brief This VM read a newer configuration: all are to have it.
    void spread_configuration();
    /// \brief This VM read of an order of evacuation: all are to know.
    void spread_evacuations();
    /// \brief Returns the body for a peer that asks for the configuration at `target`.
    [[nodiscard]] std::string configuration_for(std::string_view target);
    /// \brief The own load at an upstream changed: told at once, as far as the budget goes.
    void tell_load(state::member_key member);
    /// \brief There may be news of requests that end upstreams: all are to know.
    void tell_evidence();
    /// \brief There may be news of what upstreams state that they take: all are to know.
    void tell_limits();
    /// \brief This VM leaves the fleet.
    void leave();

    /// \brief Path at which peers give out their directory of upstreams.
    static constexpr std::string_view directory_target = "/fleet/upstreams";
    /// \brief The first byte of a datagram says which codec reads the rest.
    static constexpr char members_mark = 'm';
    static constexpr char news_mark = 'n';

private:
    void receive();
    void on_datagram(std::size_t bytes);
    void take_news(coordination::fleet_news const& news, state::endpoint from);
    void take_members(coordination::fleet_news const& news);
    void take_peer_message(std::span<char const> text, state::endpoint from);
    void carry_out(coordination::control_actions const& actions);
    void advance_members();
    void tell_whole();
    void tell_standing();
    void tell_confirmed_limits();
    void tell_members();
    void tell_loads();
    void note_told(coordination::fleet_news const& news);
    /// \brief Exchanges with a peer what is known of requests that end upstreams, where it differs.
    void tell_differing(coordination::fleet_news const& heard, state::endpoint to);
    /// \brief Begins a message to all, along as many trees as make up for a lost datagram.
    void spread(coordination::fleet_news& news);
    /// \brief Sends upstreams and orders to the heads of a range, who pass them on.
    void pass_on(coordination::fleet_news const& from);
    [[nodiscard]] coordination::fleet_news news_header();
    [[nodiscard]] coordination::fleet_news news_with_orders();
    void send(std::string datagram, state::endpoint to);
    /// \brief Numbers a message and sends it to all of `peers`.
    void send(coordination::fleet_news& news, std::span<state::endpoint const> peers);
    void note_peers(state::time_point now);
    void fetch_directory(state::endpoint peer);
    void fetch_what_differs(state::time_point now);
    [[nodiscard]] std::vector<state::endpoint> audience() const;
    [[nodiscard]] std::vector<offer_peer> offer_peers() const;

    forward_core& core_;
    net::ip::udp::socket socket_;
    net::ip::udp::endpoint sender_;
    std::array<char, 2048> received_{};
    std::function<std::optional<state::time_point>()> last_read_;
    coordination::node_settings settings_;
    coordination::membership members_;
    std::uint64_t sequence_ = 0;
    state::time_point whole_at_{};
    coordination::load_news loads_;
    configuration_exchange configurations_;
    bool told_lost_ = false;
    bool told_reads_ = false;
    bool telling_ = false;
    std::size_t live_ = 1;
    state::time_point live_told_{};
    coordination::evidence_exchange evidence_;
    state::time_point directory_fetch_at_{};
    bool fetching_directory_ = false;
};

} // namespace plumdale::transport
