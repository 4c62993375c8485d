#include "relay_client.hpp"

#include "clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

using coordination::relay_failed;
using protocol::caller_event;

// A link costs two heartbeats a second; one that no relay used for this long is closed.
constexpr auto idle_timeout = std::chrono::seconds{30};

bool ends_relay(protocol::link_body const& body)
{
    return std::holds_alternative<coordination::relay_finished>(body) ||
           std::holds_alternative<coordination::relay_refused>(body);
}

} // namespace

relay_client::relay_client(net::io_context& context, link_settings const& settings,
                           event_handler on_event)
    : context_{context}, settings_{settings}, on_event_{std::move(on_event)}, idle_timer_{context}
{
}

relay_client::~relay_client()
{
    for (auto const& [node, peer] : peers_)
    {
        peer.link->close();
    }
}

void relay_client::relay(coordination::relay_request const& action)
{
    peer_entry& peer = find_or_connect(action.node, action.address);
    peer.relays.insert(action.caller);
    relays_[action.caller] = action.node;
    peer.link->send({action.caller.value, action.request});
}

void relay_client::close(state::caller_handle caller)
{
    send_event(caller, caller_event::disconnected);
    remove_relay(caller);
}

void relay_client::send_event(state::caller_handle caller, caller_event event)
{
    if (auto const found = relays_.find(caller); found != relays_.end())
    {
        peers_.at(found->second).link->send({caller.value, event});
    }
}

relay_client::peer_entry& relay_client::find_or_connect(state::node_id node,
                                                        state::endpoint address)
{
    if (auto const found = peers_.find(node); found != peers_.end())
    {
        if (found->second.address == address)
        {
            return found->second;
        }
        drop_peer(node);
    }
    peer_entry& made = peers_[node];
    made.address = address;
    made.link = open_link(context_, address, settings_, listener_for(node));
    close_idle_links();
    return made;
}

link_listener relay_client::listener_for(state::node_id node)
{
    link_listener listener;
    listener.opened = [this, node]
    {
        peers_.at(node).opened = true;
    };
    listener.received = [this, node](protocol::link_frame frame)
    {
        on_frame(node, std::move(frame));
    };
    listener.closed = [this, node]
    {
        on_closed(node);
    };
    return listener;
}

void relay_client::on_frame(state::node_id node, protocol::link_frame frame)
{
    state::caller_handle const caller{frame.exchange};
    auto const found = relays_.find(caller);
    if (found == relays_.end() || found->second != node)
    {
        return; // The relay was closed while this answer was in transit.
    }
    if (ends_relay(frame.body))
    {
        remove_relay(caller);
    }
    if (auto* const head = std::get_if<coordination::relay_head>(&frame.body))
    {
        return on_event_(*head);
    }
    if (auto* const token = std::get_if<coordination::relay_token>(&frame.body))
    {
        return on_event_(std::move(*token));
    }
    if (auto* const finished = std::get_if<coordination::relay_finished>(&frame.body))
    {
        return on_event_(std::move(*finished));
    }
    if (auto* const refused = std::get_if<coordination::relay_refused>(&frame.body))
    {
        return on_event_(*refused);
    }
}

void relay_client::on_closed(state::node_id node)
{
    drop_peer(node);
}

// Until the link opened, nothing of the requests was sent: the owner can't have seen them.
void relay_client::drop_peer(state::node_id node)
{
    auto const found = peers_.find(node);
    peer_entry const lost = std::move(found->second);
    peers_.erase(found);
    lost.link->close();
    for (state::caller_handle const caller : lost.relays)
    {
        relays_.erase(caller);
        net::post(context_,
                  [this, failed = relay_failed{caller, lost.opened}] { on_event_(failed); });
    }
}

void relay_client::remove_relay(state::caller_handle caller)
{
    auto const found = relays_.find(caller);
    if (found == relays_.end())
    {
        return;
    }
    peer_entry& owner = peers_.at(found->second);
    owner.relays.erase(caller);
    owner.idle_since = now();
    relays_.erase(found);
}

void relay_client::close_idle_links()
{
    if (std::exchange(is_idle_timer_armed_, true))
    {
        return;
    }
    idle_timer_.expires_after(idle_timeout);
    idle_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
            {
                return;
            }
            is_idle_timer_armed_ = false;
            std::erase_if(peers_,
                          [](auto const& entry)
                          {
                              peer_entry const& each = entry.second;
                              bool const idle =
                                  each.relays.empty() && now() - each.idle_since >= idle_timeout;
                              if (idle)
                              {
                                  each.link->close();
                              }
                              return idle;
                          });
            if (!peers_.empty())
            {
                close_idle_links();
            }
        });
}

} // namespace plumdale::transport
