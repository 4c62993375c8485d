#pragma once

#include "peer_link.hpp"

#include <plumdale/coordination/request_actions.hpp>
#include <plumdale/coordination/request_events.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

/// \file
/// \brief The relaying side: passes callers' requests to the entry VMs that own them.

namespace plumdale::transport
{

/// \brief One shard's links to its peers, many relays on each. On the shard's thread.
class relay_client
{
public:
    using event_handler = std::function<void(coordination::request_event)>;

    /// \brief `on_event` receives the relay events; it is never called from within a member
    /// function.
    relay_client(net::io_context& context, link_settings const& settings, event_handler on_event);
    relay_client(relay_client const&) = delete;
    relay_client& operator=(relay_client const&) = delete;
    ~relay_client();

    /// \brief Relays a request, over a new link when there is none.
    void relay(coordination::relay_request const& action);
    /// \brief Abandons a relay.
    void close(state::caller_handle caller);
    /// \brief Sends an event of the caller to the owner; does nothing when the caller has no relay.
    void send_event(state::caller_handle caller, protocol::caller_event event);

private:
    struct peer_entry
    {
        std::shared_ptr<peer_link> link;
        state::endpoint address;
        bool opened = false;
        std::unordered_set<state::caller_handle> relays;
        state::time_point idle_since{};
    };

    peer_entry& find_or_connect(state::node_id node, state::endpoint address);
    link_listener listener_for(state::node_id node);
    void on_frame(state::node_id node, protocol::link_frame frame);
    void on_closed(state::node_id node);
    void drop_peer(state::node_id node);
    void remove_relay(state::caller_handle caller);
    void close_idle_links();

    net::io_context& context_;
    link_settings settings_;
    event_handler on_event_;
    net::steady_timer idle_timer_;
    bool is_idle_timer_armed_ = false;
    std::unordered_map<state::node_id, peer_entry> peers_;
    std::unordered_map<state::caller_handle, state::node_id> relays_;
};

} // namespace plumdale::transport
