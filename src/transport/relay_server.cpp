#include "relay_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using protocol::caller_event;

/// \brief A peer that waits for an answer on behalf of its caller.
class relay_answer_sink final : public answer_sink
{
public:
    relay_answer_sink(std::weak_ptr<peer_link> link, std::uint64_t exchange,
                      std::function<void(std::uint64_t)> on_end)
        : link_{std::move(link)}, exchange_{exchange}, on_end_{std::move(on_end)}
    {
    }

    [[nodiscard]] bool has_started() const noexcept override
    {
        return has_started_;
    }

    void deliver(coordination::send_head const& head) override
    {
        has_started_ = true;
        send(coordination::relay_head{{exchange_}, head.generation, head.upstream});
    }

    void deliver(coordination::send_token const& token) override
    {
        send(coordination::relay_token{
            {exchange_}, token.generation, token.upstream, token.index, token.text});
    }

    void deliver(coordination::send_finished const& finished) override
    {
        send(coordination::relay_finished{
            {exchange_}, finished.generation, finished.count, finished.text, finished.status});
        on_end_(exchange_);
    }

    void deliver(coordination::send_refused const& refused) override
    {
        send(coordination::relay_refused{{exchange_},
                                         refused.kind,
                                         refused.retry_after,
                                         refused.generation,
                                         refused.next_index});
        on_end_(exchange_);
    }

private:
    void send(protocol::link_body body)
    {
        if (auto const link = link_.lock())
        {
            link->send({exchange_, std::move(body)});
        }
    }

    std::weak_ptr<peer_link> link_;
    std::uint64_t exchange_;
    bool has_started_ = false;
    std::function<void(std::uint64_t)> on_end_;
};

} // namespace

/// \brief One link with the relays on it.
class relay_server::session final : public std::enable_shared_from_this<session>
{
public:
    session(relay_server& server, std::uint64_t session_id)
        : server_{server}, session_id_{session_id}
    {
    }

    ~session()
    {
        if (link_ != nullptr)
        {
            link_->close();
        }
    }

    void start(tcp::socket socket)
    {
        link_listener listener;
        listener.received = [this](protocol::link_frame frame)
        {
            on_frame(std::move(frame));
        };
        listener.closed = [this]
        {
            on_closed();
        };
        listener.blocked = [this](bool blocked)
        {
            on_link_blocked(blocked);
        };
        link_ = accept_link(std::move(socket), server_.settings_, std::move(listener));
    }

private:
    struct relay
    {
        state::caller_handle caller;
        std::uint32_t shard = 0;
        bool peer_blocked = false;
    };

    void on_frame(protocol::link_frame frame)
    {
        if (auto* const request = std::get_if<state::request>(&frame.body))
        {
            return on_request(frame.exchange, std::move(*request));
        }
        if (auto const* const event = std::get_if<caller_event>(&frame.body))
        {
            return on_caller_event(frame.exchange, *event);
        }
        if (auto const* const wanted = std::get_if<state::content_ref>(&frame.body))
        {
            return on_content_request(frame.exchange, *wanted);
        }
    }

    void on_request(std::uint64_t exchange, state::request request)
    {
        if (relays_.count(exchange) != 0)
        {
            return; // An exchange number is unique among open relays.
        }
        auto sink = std::make_shared<relay_answer_sink>(
            link_, exchange, [this](std::uint64_t ended) { end_relay(ended); });
        state::caller_handle const caller = server_.own_worker_.add_caller(std::move(sink));
        std::uint32_t const shard = server_.requests_.receive(
            {caller, std::move(request), relaying_node()}, server_.own_worker_.index());
        relays_[exchange] = {caller, shard};
    }

    [[nodiscard]] state::node_id relaying_node() const
    {
        return link_->peer();
    }

    void on_caller_event(std::uint64_t exchange, caller_event event)
    {
        auto const found = relays_.find(exchange);
        if (found == relays_.end())
        {
            return;
        }
        relay& each = found->second;
        if (event == caller_event::disconnected)
        {
            server_.requests_.post(each.shard, coordination::caller_disconnected{each.caller});
            return end_relay(exchange);
        }
        each.peer_blocked = event == caller_event::blocked;
        post_caller_state(each, each.peer_blocked || link_blocked_);
    }

    // While the link's send buffer is above its limit, every stream on the link is paused. The
    // buffer drains as the peer reads.
    void on_link_blocked(bool blocked)
    {
        link_blocked_ = blocked;
        for (auto const& [exchange, each] : relays_)
        {
            if (!each.peer_blocked)
            {
                post_caller_state(each, blocked);
            }
        }
    }

    void post_caller_state(relay const& each, bool blocked)
    {
        if (blocked)
        {
            return server_.requests_.post(each.shard, coordination::caller_blocked{each.caller});
        }
        server_.requests_.post(each.shard, coordination::caller_ready{each.caller});
    }

    void on_content_request(std::uint64_t exchange, state::content_ref const& wanted)
    {
        auto const answer = [weak = weak_from_this(), &context = server_.own_worker_.context(),
                             exchange](protocol::link_content content)
        {
            net::post(context,
                      [weak, exchange, content = std::move(content)]
                      {
                          if (auto const self = weak.lock())
                          {
                              self->link_->send({exchange, content});
                          }
                      });
        };
        server_.content_.request(wanted, answer);
    }

    void end_relay(std::uint64_t exchange)
    {
        if (auto const found = relays_.find(exchange); found != relays_.end())
        {
            server_.own_worker_.remove_caller(found->second.caller);
            relays_.erase(found);
        }
    }

    void on_closed()
    {
        for (auto const& [exchange, each] : relays_)
        {
            server_.requests_.post(each.shard, coordination::caller_disconnected{each.caller});
            server_.own_worker_.remove_caller(each.caller);
        }
        relays_.clear();
        net::post(server_.own_worker_.context(), [&server = server_, session_id = session_id_]
                  { server.sessions_.erase(session_id); });
    }

    relay_server& server_;
    std::uint64_t session_id_;
    std::shared_ptr<peer_link> link_;
    bool link_blocked_ = false;
    std::unordered_map<std::uint64_t, relay> relays_;
};

relay_server::relay_server(worker& own_worker, request_sink& requests, content_source& content,
                           link_settings const& settings)
    : own_worker_{own_worker}, requests_{requests}, content_{content}, settings_{settings}
{
}

relay_server::~relay_server() = default;

void relay_server::serve(tcp::socket socket)
{
    auto const made = std::make_shared<session>(*this, ++last_session_id_);
    sessions_.emplace(last_session_id_, made);
    made->start(std::move(socket));
}

} // namespace plumdale::transport
