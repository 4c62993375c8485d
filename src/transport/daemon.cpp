#include "admin_pages.hpp"
#include "caller_session.hpp"
#include "control_runner.hpp"
#include "listener.hpp"
#include "relay_server.hpp"
#include "shard_runner.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/transport/daemon.hpp>
#include <plumdale/transport/log.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

using udp = net::ip::udp;
using boost::system::error_code;

constexpr auto idle_poll_interval = std::chrono::milliseconds{100};

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// A later start of the same VM must have a greater incarnation, though the VM stores nothing. The
// wall clock ensures this unless it is set back by more than the time between two starts; then
// peers report the newest incarnation they know, and the process restarts above it.
state::incarnation new_incarnation(state::incarnation floor)
{
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    auto const micros = std::chrono::duration_cast<std::chrono::microseconds>(wall).count();
    return {std::max(static_cast<std::uint64_t>(micros), floor.value + 1)};
}

} // namespace

struct daemon::sockets
{
    // The workers' loops outlive the control plane's: an accept that is pending when the process
    // ends holds a socket of a worker's loop, and is destroyed with the control plane's loop.
    std::vector<std::unique_ptr<net::io_context>> workers;
    net::io_context control{1};
    tcp::acceptor callers{control};
    tcp::acceptor streams{control};
    udp::socket datagrams{control};
};

class daemon::implementation final : public request_sink
{
public:
    implementation(protocol::daemon_settings const& settings, sockets& sockets,
                   policy_selector const& choose_policy)
        : settings_{settings}, context_{sockets.control}, node_{settings_.node,
                                                                choose_policy(settings_.node),
                                                                random_seed()},
          link_settings_{settings_.node.self.id, settings_.node.fleet_key,
                         settings_.node.accepted_fleet_keys},
          workers_{make_workers(sockets)}, control_{context_,       node_,
                                                    settings_,      std::move(sockets.datagrams),
                                                    link_settings_, hooks()},
          admin_{node_, settings_, control_, workers_}, pages_{[this](page_request const& request,
                                                                      page_callback const& answer)
                                                               {
                                                                   return admin_.handle(request,
                                                                                        answer);
                                                               }},
          caller_listener_{std::move(sockets.callers), workers_,
                           [this](std::uint32_t index, tcp::socket socket)
                           {
                               on_caller(index, std::move(socket));
                           }},
          peer_listener_{std::move(sockets.streams), workers_,
                         [this](std::uint32_t index, tcp::socket socket)
                         {
                             relay_servers_[index]->serve(std::move(socket));
                         }},
          signals_{context_, SIGTERM, SIGINT}, stop_timer_{context_}
    {
        make_components();
    }

    ~implementation() override
    {
        stop_workers();
    }

    daemon_outcome run()
    {
        for (auto const& each : workers_)
        {
            each->start();
        }
        control_.start();
        caller_listener_.start();
        peer_listener_.start();
        wait_for_signal();
        log(log_level::info, "daemon",
            "Serving callers at " + protocol::to_text(settings_.callers) + ".");
        context_.run();
        stop_workers();
        log(log_level::info, "daemon", "Stopped.");
        return outcome_;
    }

    std::uint32_t receive(coordination::request_received received,
                          std::uint32_t preferred_shard) override
    {
        std::uint32_t const shard = node_.shard_for(received.request, preferred_shard);
        shards_[shard]->post(std::move(received));
        return shard;
    }

    void post(std::uint32_t shard, coordination::request_event event) override
    {
        shards_[shard]->post(std::move(event));
    }

private:
    // -- components ---------------------------------------------------------------------------

    [[nodiscard]] std::vector<std::unique_ptr<worker>> make_workers(sockets& sockets) const
    {
        std::vector<std::unique_ptr<worker>> made;
        std::uint32_t const count = node_.shard_count();
        for (std::uint32_t i = 0; i < count; ++i)
        {
            auto& context = *sockets.workers.emplace_back(std::make_unique<net::io_context>(1));
            made.push_back(std::make_unique<worker>(context, i, count));
        }
        return made;
    }

    [[nodiscard]] session_limits limits() const
    {
        session_limits limits;
        limits.header = settings_.header_limit;
        limits.body = settings_.body_limit;
        limits.buffer = settings_.caller_buffer;
        limits.keep_alive_timeout = milliseconds(settings_.idle_timeout);
        limits.read_timeout = milliseconds(settings_.request_timeout);
        limits.stall_timeout = 2 * milliseconds(settings_.node.slow_reader_time);
        return limits;
    }

    static std::chrono::milliseconds milliseconds(state::duration time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time);
    }

    void make_components()
    {
        for (std::uint32_t i = 0; i < node_.shard_count(); ++i)
        {
            shards_.push_back(std::make_unique<shard_runner>(node_, i, workers_, link_settings_,
                                                             settings_.node.pause_tolerance));
            relay_servers_.push_back(
                std::make_unique<relay_server>(*workers_[i], *this, control_, link_settings_));
            session_contexts_.push_back(std::make_unique<session_context>(
                session_context{*this, pages_, limits(), node_.fleet_reader()}));
        }
    }

    control_hooks hooks()
    {
        control_hooks made;
        made.drained = [this](coordination::drain_finished end)
        {
            on_drained(end);
        };
        made.replaced = [this](coordination::incarnation_replaced replaced)
        {
            outcome_.replaced_by = replaced.newest;
            stop_when_idle();
        };
        made.paused = [this](state::duration pause_length)
        {
            for (auto const& each : shards_)
            {
                each->post(coordination::process_paused{pause_length});
            }
        };
        return made;
    }

    // -- callers ------------------------------------------------------------------------------

    void on_caller(std::uint32_t index, tcp::socket socket)
    {
        worker& caller_worker = *workers_[index];
        auto const open = caller_worker.metrics().counts.connections;
        bool const full =
            open >= static_cast<std::int64_t>(settings_.connection_limit / workers_.size() + 1);
        full ? refuse_caller(std::move(socket))
             : serve_caller(caller_worker, *session_contexts_[index], std::move(socket));
    }

    // -- shutdown -----------------------------------------------------------------------------

    // A second signal changes nothing: repeated signals never abort requests in flight.
    void wait_for_signal()
    {
        signals_.async_wait(
            [this](error_code error, int /*signal*/)
            {
                if (error)
                {
                    return;
                }
                log(log_level::info, "daemon",
                    "Draining; " + std::to_string(node_.in_flight()) + " in flight.");
                control_.post(coordination::drain_requested{});
                wait_for_signal();
            });
    }

    void on_drained(coordination::drain_finished end)
    {
        outcome_.in_flight = end.in_flight;
        if (end.in_flight > 0)
        {
            log(log_level::warning, "daemon",
                "The drain's bound ran out with " + std::to_string(end.in_flight) +
                    " in flight; their callers are told.");
            for (auto const& each : workers_)
            {
                net::post(each->context(),
                          [&caller_worker = *each] { caller_worker.interrupt_callers(); });
            }
        }
        // The last answers may still be in send buffers: drain_linger is the time to send them.
        stop_timer_.expires_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(settings_.drain_linger));
        stop_timer_.async_wait([this](error_code) { context_.stop(); });
    }

    void stop_when_idle()
    {
        stop_timer_.expires_after(idle_poll_interval);
        stop_timer_.async_wait(
            [this](error_code error)
            {
                if (!error)
                {
                    node_.in_flight() == 0 ? context_.stop() : stop_when_idle();
                }
            });
    }

    void stop_workers()
    {
        for (auto const& each : workers_)
        {
            each->stop();
        }
    }

    protocol::daemon_settings const& settings_;
    net::io_context& context_;
    coordination::entry_node node_;
    link_settings link_settings_;
    std::vector<std::unique_ptr<worker>> workers_;
    control_runner control_;
    admin_pages admin_;
    page_handler pages_;
    std::vector<std::unique_ptr<session_context>> session_contexts_;
    std::vector<std::unique_ptr<shard_runner>> shards_;
    std::vector<std::unique_ptr<relay_server>> relay_servers_;
    listener caller_listener_;
    listener peer_listener_;
    net::signal_set signals_;
    net::steady_timer stop_timer_;
    daemon_outcome outcome_;
};

daemon::daemon(protocol::daemon_settings settings, policy_selector choose_policy,
               state::incarnation incarnation_floor)
    : settings_{std::move(settings)}, choose_policy_{std::move(choose_policy)},
      incarnation_floor_{incarnation_floor}
{
}

daemon::~daemon() = default;

// The sockets are opened first: the system may choose the ports, and an entry VM's identity is
// derived from its endpoint.
state::result<void> daemon::open()
{
    sockets_ = std::make_unique<sockets>();
    coordination::node_settings& node = settings_.node;
    BOOST_OUTCOME_TRY(settings_.callers, open_acceptor(sockets_->callers, settings_.callers));
    BOOST_OUTCOME_TRY(node.self.streams, open_acceptor(sockets_->streams, node.self.streams));
    BOOST_OUTCOME_TRY(node.self.datagrams,
                      open_datagrams(sockets_->datagrams, node.self.datagrams));
    node.self.id = state::id_from_name<state::node_id>(protocol::to_text(node.self.datagrams));
    node.self.incarnation_number = new_incarnation(incarnation_floor_);
    implementation_ = std::make_unique<implementation>(settings_, *sockets_, choose_policy_);
    return boost::outcome_v2::success();
}

protocol::daemon_settings const& daemon::settings() const
{
    return settings_;
}

daemon_outcome daemon::run()
{
    return implementation_->run();
}

} // namespace plumdale::transport
