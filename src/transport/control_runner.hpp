#pragma once

#include "content_source.hpp"
#include "http_fetch.hpp"
#include "metrics.hpp"
#include "net.hpp"
#include "pause_detector.hpp"
#include "peer_link.hpp"

#include <plumdale/coordination/entry_node.hpp>
#include <plumdale/protocol/settings.hpp>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <unordered_map>

/// \file
/// \brief Runs the control plane on its strand.

namespace plumdale::transport
{

/// \brief Callbacks for decisions of the control plane that concern the whole process.
struct control_hooks
{
    std::function<void(coordination::drain_finished)> drained;
    std::function<void(coordination::incarnation_replaced)> replaced;
    /// \brief Called with the time for which the process did not run.
    std::function<void(state::duration)> paused;
};

/// \brief Feeds the control plane its events and carries out its actions.
class control_runner final : public content_source
{
public:
    using switch_handler = std::function<void(coordination::switch_answer const&)>;

    control_runner(net::io_context& context, coordination::entry_node& node,
                   protocol::daemon_settings const& settings, net::ip::udp::socket datagrams,
                   link_settings const& links, control_hooks hooks);
    ~control_runner() override;

    /// \brief Starts the timers and the receipt of datagrams.
    void start();
    /// \brief Passes an event on; any thread may call.
    void post(coordination::control_event event);
    /// \brief Requests a preset switch; any thread may call. `answer` is called on the control
    /// thread.
    void request_switch(coordination::operator_switch wanted, switch_handler answer);
    void request(state::content_ref wanted, answer_handler answer) override;

    [[nodiscard]] control_metrics const& metrics() const noexcept
    {
        return metrics_;
    }

private:
    static constexpr std::size_t max_datagram_bytes = 2048;

    void handle(coordination::control_event const& event);
    void apply_event(coordination::control_event const& event);
    void arm_timer();
    void receive_datagram();
    void on_datagram(std::size_t bytes);
    void on_configuration(state::result<fetch_answer> const& answer);
    void on_content(coordination::request_content const& requested, protocol::link_content content);
    void on_order(state::upstream_id upstream, state::result<fetch_answer> const& answer);
    void close_content_link(std::uint64_t fetch);
    void fetch_platform(fetch_request request, fetch_handler handler);

    void carry_out(coordination::read_configuration const& action);
    void carry_out(coordination::read_vm_list const& action);
    void carry_out(coordination::read_load const& action);
    void carry_out(coordination::send_datagram const& action);
    void carry_out(coordination::answer_operator const& action);
    void carry_out(coordination::request_content const& action);
    void carry_out(coordination::send_content const& action);
    void carry_out(coordination::read_order const& action);
    void carry_out(coordination::send_order const& action);
    void carry_out(coordination::incarnation_replaced const& action);
    void carry_out(coordination::drain_finished const& action);

    net::io_context& context_;
    fetcher fetcher_;
    coordination::entry_node& node_;
    protocol::daemon_settings const& settings_;
    net::ip::udp::socket datagrams_;
    link_settings link_settings_;
    control_hooks hooks_;
    net::steady_timer timer_;
    state::time_point timer_at_ = state::never;
    pause_detector pause_detector_;
    control_metrics metrics_;
    net::ip::udp::endpoint sender_;
    std::array<char, max_datagram_bytes> datagram_buffer_{};
    std::uint64_t next_exchange_ = 0;
    std::unordered_map<state::exchange_handle, switch_handler> pending_switches_;
    std::unordered_map<state::exchange_handle, answer_handler> pending_content_;
    std::unordered_map<std::uint64_t, std::shared_ptr<peer_link>> content_links_;
};

} // namespace plumdale::transport
