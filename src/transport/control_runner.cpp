#include "control_runner.hpp"

#include "clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/engine_codec.hpp>
#include <plumdale/protocol/peer_codec.hpp>
#include <plumdale/protocol/platform_codec.hpp>
#include <plumdale/transport/log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using udp = net::ip::udp;

// Added to the time for which the service may hold a watch.
constexpr auto answer_timeout = std::chrono::seconds{2};
constexpr unsigned stale_fence_status = 409;

bool is_success(state::result<fetch_answer> const& answer)
{
    return answer && answer.value().status == 200;
}

} // namespace

control_runner::control_runner(net::io_context& context, coordination::entry_node& node,
                               protocol::daemon_settings const& settings, udp::socket datagrams,
                               link_settings const& links, control_hooks hooks)
    : context_{context}, fetcher_{context}, node_{node}, settings_{settings},
      datagrams_{std::move(datagrams)}, link_settings_{links}, hooks_{std::move(hooks)},
      timer_{context}, pause_detector_{settings.node.pause_tolerance, suspended_time()}
{
}

control_runner::~control_runner()
{
    for (auto const& [fetch, link] : content_links_)
    {
        link->close();
    }
}

void control_runner::start()
{
    receive_datagram();
    post(coordination::deadline_reached{});
}

void control_runner::post(coordination::control_event event)
{
    net::post(context_, [this, event = std::move(event)] { handle(event); });
}

void control_runner::handle(coordination::control_event const& event)
{
    state::duration const pause_length =
        pause_detector_.pause_length(now(), suspended_time(), timer_at_);
    if (pause_length > state::duration::zero())
    {
        log(log_level::warning, "control",
            "The process did not run for " + std::to_string(whole_milliseconds(pause_length)) +
                " ms.");
        ++metrics_.pauses;
        hooks_.paused(pause_length);
        apply_event(coordination::process_paused{pause_length});
    }
    apply_event(event);
    arm_timer();
}

void control_runner::apply_event(coordination::control_event const& event)
{
    coordination::control_actions actions;
    node_.handle(event, now(), actions);
    for (coordination::control_action const& action : actions)
    {
        std::visit([this](auto const& each) { carry_out(each); }, action);
    }
}

void control_runner::arm_timer()
{
    timer_at_ = node_.next_control_deadline();
    timer_.expires_at(to_steady(timer_at_));
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                handle(coordination::deadline_reached{});
            }
        });
}

// -- platform -------------------------------------------------------------------------------------

void control_runner::fetch_platform(fetch_request request, fetch_handler handler)
{
    ++metrics_.platform_calls;
    request.address = settings_.platform;
    // A watch is a long poll: on a kept connection that was silently lost, it would wait its whole
    // timeout in vain. So every call uses a new connection.
    fetch(context_, std::move(request),
          [this, handler = std::move(handler)](state::result<fetch_answer> const& answer)
          {
              metrics_.platform_failures += is_success(answer) ? 0 : 1;
              handler(answer);
          });
}

void control_runner::carry_out(coordination::read_configuration const& action)
{
    fetch_request request;
    request.target = "/v1/config?after=" + std::to_string(action.after) +
                     "&wait_ms=" + std::to_string(whole_milliseconds(action.wait));
    request.timeout = std::chrono::milliseconds{whole_milliseconds(action.wait + answer_timeout)};
    fetch_platform(std::move(request),
                   [this](state::result<fetch_answer> const& answer) { on_configuration(answer); });
}

void control_runner::on_configuration(state::result<fetch_answer> const& answer)
{
    if (!is_success(answer))
    {
        return handle(coordination::configuration_read_failed{});
    }
    auto const changes = protocol::decode_configuration(answer.value().body);
    if (!changes)
    {
        log(log_level::warning, "configuration", "Malformed: " + changes.error().detail + '.');
        return handle(coordination::configuration_read_failed{});
    }
    for (coordination::control_event const& event : changes.value().events)
    {
        handle(event);
    }
    handle(coordination::configuration_read{changes.value().revision});
}

void control_runner::carry_out(coordination::read_vm_list const& /*action*/)
{
    fetch_request request;
    request.target = "/v1/vms";
    fetch_platform(std::move(request),
                   [this](state::result<fetch_answer> const& answer)
                   {
                       if (!is_success(answer))
                       {
                           return handle(coordination::vm_list_failed{});
                       }
                       auto const list = protocol::decode_vm_list(answer.value().body);
                       if (!list)
                       {
                           log(log_level::warning, "platform",
                               "Malformed list of VMs: " + list.error().detail + '.');
                           return handle(coordination::vm_list_failed{});
                       }
                       handle(list.value());
                   });
}

// -- engines --------------------------------------------------------------------------------------

void control_runner::carry_out(coordination::read_load const& action)
{
    fetch_request request;
    request.address = action.address;
    request.target = "/v1/load";
    fetcher_.fetch(std::move(request),
                   [this, upstream = action.upstream](state::result<fetch_answer> const& answer)
                   {
                       if (!is_success(answer))
                       {
                           return handle(coordination::load_unavailable{upstream});
                       }
                       auto report = protocol::decode_load(answer.value().body);
                       if (!report)
                       {
                           return handle(coordination::load_unavailable{upstream});
                       }
                       report.value().upstream = upstream;
                       handle(coordination::load_reported{report.value()});
                   });
}

void control_runner::carry_out(coordination::read_order const& action)
{
    fetch_request request;
    request.address = action.address;
    request.target = "/v1/orders";
    fetcher_.fetch(std::move(request),
                   [this, upstream = action.upstream](state::result<fetch_answer> const& answer)
                   { on_order(upstream, answer); });
}

void control_runner::carry_out(coordination::send_order const& action)
{
    ++metrics_.orders_sent;
    fetch_request request;
    request.address = action.address;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = protocol::order_body(action.order);
    fetcher_.fetch(std::move(request),
                   [this, upstream = action.upstream](state::result<fetch_answer> const& answer)
                   { on_order(upstream, answer); });
}

// An engine that rejects a stale fence also returns the order that it follows.
void control_runner::on_order(state::upstream_id upstream,
                              state::result<fetch_answer> const& answer)
{
    if (!is_success(answer) && !(answer && answer.value().status == stale_fence_status))
    {
        return handle(coordination::order_failed{upstream});
    }
    auto order = protocol::decode_order(answer.value().body);
    if (!order)
    {
        return handle(coordination::order_failed{upstream});
    }
    handle(coordination::order_read{upstream, std::move(order.value())});
}

// -- peers ----------------------------------------------------------------------------------------

void control_runner::receive_datagram()
{
    datagrams_.async_receive_from(net::buffer(datagram_buffer_), sender_,
                                  [this](boost::system::error_code error, std::size_t bytes)
                                  {
                                      if (error == net::error::operation_aborted)
                                      {
                                          return;
                                      }
                                      // Other errors report an earlier send to a closed port.
                                      if (!error)
                                      {
                                          on_datagram(bytes);
                                      }
                                      receive_datagram();
                                  });
}

void control_runner::on_datagram(std::size_t bytes)
{
    metrics_.datagram_bytes_received += bytes;
    auto message =
        protocol::decode_peer_message({datagram_buffer_.data(), bytes}, settings_.node.fleet_key,
                                      settings_.node.accepted_fleet_keys);
    if (!message || !sender_.address().is_v4())
    {
        ++metrics_.datagrams_rejected;
        return;
    }
    ++metrics_.datagrams_received;
    state::endpoint const from{sender_.address().to_v4().to_uint(), sender_.port()};
    handle(coordination::datagram_received{from, std::move(message.value())});
}

void control_runner::carry_out(coordination::send_datagram const& action)
{
    auto const bytes = std::make_shared<std::string const>(
        protocol::encode(action.message, settings_.node.fleet_key));
    ++metrics_.datagrams_sent;
    metrics_.datagram_bytes_sent += bytes->size();
    udp::endpoint const to{net::ip::address_v4{action.to.address}, action.to.port};
    datagrams_.async_send_to(net::buffer(*bytes), to,
                             [bytes](boost::system::error_code, std::size_t) {});
}

void control_runner::carry_out(coordination::request_content const& action)
{
    std::uint64_t const fetch = ++next_exchange_;
    link_listener listener;
    listener.received = [this, action, fetch](protocol::link_frame frame)
    {
        if (auto* const content = std::get_if<protocol::link_content>(&frame.body))
        {
            on_content(action, std::move(*content));
            close_content_link(fetch);
        }
    };
    listener.closed = [this, action, fetch]
    {
        handle(coordination::content_unavailable{action.peer, action.content});
        close_content_link(fetch);
    };
    auto const link = open_link(context_, action.streams, link_settings_, std::move(listener));
    content_links_.emplace(fetch, link);
    link->send({fetch, action.content});
}

void control_runner::on_content(coordination::request_content const& requested,
                                protocol::link_content content)
{
    coordination::content_unavailable const missing{requested.peer, requested.content};
    if (content.text == nullptr)
    {
        return handle(missing);
    }
    auto const events =
        protocol::decode_content(content.key, content.wanted.revision, *content.text);
    if (!events || events.value().empty())
    {
        log(log_level::warning, "configuration", "A peer sent a malformed value.");
        return handle(missing);
    }
    for (coordination::control_event const& event : events.value())
    {
        handle(event);
    }
}

// Called from the link's own callbacks, so the link is destroyed later, from the event loop.
void control_runner::close_content_link(std::uint64_t fetch)
{
    net::post(context_,
              [this, fetch]
              {
                  if (auto const found = content_links_.find(fetch); found != content_links_.end())
                  {
                      found->second->close();
                      content_links_.erase(found);
                  }
              });
}

void control_runner::request(state::content_ref wanted, answer_handler answer)
{
    net::post(context_,
              [this, wanted, answer = std::move(answer)]
              {
                  state::exchange_handle const exchange{++next_exchange_};
                  pending_content_.emplace(exchange, answer);
                  handle(coordination::content_requested{exchange, wanted});
              });
}

void control_runner::carry_out(coordination::send_content const& action)
{
    if (auto const found = pending_content_.find(action.exchange); found != pending_content_.end())
    {
        answer_handler const answer = std::move(found->second);
        pending_content_.erase(found);
        answer({action.content, action.key, action.text});
    }
}

// -- operators and shutdown -----------------------------------------------------------------------

void control_runner::request_switch(coordination::operator_switch wanted, switch_handler answer)
{
    net::post(context_,
              [this, wanted, answer = std::move(answer)]() mutable
              {
                  wanted.exchange = state::exchange_handle{++next_exchange_};
                  pending_switches_.emplace(wanted.exchange, std::move(answer));
                  handle(wanted);
              });
}

void control_runner::carry_out(coordination::answer_operator const& action)
{
    if (auto const found = pending_switches_.find(action.exchange);
        found != pending_switches_.end())
    {
        switch_handler const answer = std::move(found->second);
        pending_switches_.erase(found);
        answer(action.answer);
    }
}

void control_runner::carry_out(coordination::incarnation_replaced const& action)
{
    log(log_level::warning, "members", "Peers know a later start of this entry VM.");
    hooks_.replaced(action);
}

void control_runner::carry_out(coordination::drain_finished const& action)
{
    hooks_.drained(action);
}

} // namespace plumdale::transport
