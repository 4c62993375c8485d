#include "boot_clock.hpp"
#include "caller_channel.hpp"
#include "caller_connections.hpp"
#include "connection_acceptor.hpp"
#include "fleet_exchange.hpp"
#include "forward_call.hpp"
#include "forward_core.hpp"
#include "listener.hpp"
#include "milliseconds.hpp"
#include "operations_page.hpp"
#include "peer_call_admission.hpp"
#include "speed_tracker.hpp"
#include "store_reader.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/peer_call.hpp>
#include <plumdale/transport/forwarder.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <csignal>
#include <sys/resource.h>
#include <unistd.h>
#include <unordered_set>
#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using udp = net::ip::udp;

constexpr std::string_view part = "process";
// Idle connections, due updates and the like are checked at this interval.
constexpr std::chrono::milliseconds maintenance_interval{50};
// The balancer probes once a second and stops sending calls after two failed probes.
constexpr state::duration balancer_detection_time = std::chrono::milliseconds{2'800};
// The platform ends the process at the end of the grace period; the last answers need time to be
// sent.
constexpr state::duration grace_margin = std::chrono::milliseconds{150};
// Calls without an answer get one at the look before the last.
constexpr state::duration last_answers_margin = grace_margin + maintenance_interval;
// A timer that is this late means that the process did not run.
constexpr state::duration pause_tolerance = std::chrono::milliseconds{600};
constexpr unsigned ok = 200;
constexpr unsigned not_ready = 503;
constexpr unsigned not_found = 404;

} // namespace

class forwarder::implementation
{
public:
    implementation(protocol::forward_settings settings, protocol::dialect const& platform_dialect,
                   settings_source reread)
        : settings_{std::move(settings)}, log_{STDOUT_FILENO, settings_.name},
          core_{context_, settings_, platform_dialect, log_}, store_{core_}, reread_{std::move(
                                                                                 reread)},
          signals_{context_, SIGTERM, SIGINT, SIGHUP}, maintenance_timer_{context_}
    {
    }

    state::result<void> open()
    {
        // A write to a connection that its caller closed must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        BOOST_OUTCOME_TRY(open_acceptor(callers_, settings_.callers));
        BOOST_OUTCOME_TRY(open_acceptor(ready_, settings_.ready));
        BOOST_OUTCOME_TRY(open_acceptor(streams_, settings_.streams));
        udp::socket datagrams{context_};
        BOOST_OUTCOME_TRY(open_datagrams(datagrams, settings_.datagrams));
        datagrams.non_blocking(true);
        fleet_.emplace(core_, std::move(datagrams), settings_.streams,
                       store_callbacks{[this] {
                                           return store_.last_call_failed()
                                                      ? std::nullopt
                                                      : std::optional{store_.last_read()};
                                       },
                                       [this](std::function<void()> on_not_newer)
                                       { store_.read_once(std::move(on_not_newer)); },
                                       [this]
                                       {
                                           store_.read_all_once();
                                       }});
        core_.on_configuration_read = [this]
        {
            fleet_->broadcast_configuration();
        };
        core_.on_evacuations_read = [this]
        {
            fleet_->broadcast_evacuations();
        };
        core_.quarantine.on_changed = [this]
        {
            fleet_->announce_evidence();
        };
        core_.limits.on_changed = core_.refusal_limits.on_changed = [this]
        {
            fleet_->announce_limits();
        };
        core_.on_finding = [this]
        {
            fleet_->announce_suspicions();
        };
        core_.on_load_changed = [this](state::member_key member)
        {
            fleet_->announce_load(member);
        };
        return boost::outcome_v2::success();
    }

    std::uint32_t run()
    {
        log_.write(part, "started", {},
                   {{"callers", protocol::to_text(settings_.callers)},
                    {"platform", protocol::to_text(settings_.platform)},
                    {"zone", settings_.zone}});
        caller_connections callers{core_, callers_, connection_capacity(),
                                   [this](tcp::socket socket, call_handler_factory const& start,
                                          std::function<void(caller_channel&)> const& on_closed)
                                   {
                                       return open_channel(std::move(socket), false, start,
                                                           on_closed);
                                   }};
        listener_sink ready{
            *this, ready_, false,
            [this](std::shared_ptr<caller_channel> const& channel, received_call const& call)
            {
                return answer_operations(*channel, call);
            }};
        listener_sink streams{
            *this, streams_, true,
            [this](std::shared_ptr<caller_channel> const& channel, received_call const& call)
            {
                return answer_peer(channel, call);
            }};
        wait_for_signal();
        store_.start();
        fleet_->start();
        last_maintenance_ = boot_now();
        run_maintenance();
        context_.run();
        std::uint32_t const cut = core_.calls_in_progress;
        log_.write(part, "stopped", {}, {{"calls_cut", cut}});
        log_.flush();
        cut_channels();
        return cut;
    }

private:
    // -- connections ------------------------------------------------------------

    /// \brief Takes the connections of one listener; all of them, unless it is the callers'.
    class listener_sink final : public connection_sink
    {
    public:
        listener_sink(implementation& vm, tcp::acceptor& acceptor, bool is_peer,
                      call_handler_factory start)
            : vm_{vm}, is_peer_{is_peer}, start_{std::move(start)}, acceptor_{vm.context_, acceptor,
                                                                              *this}
        {
            acceptor_.start();
        }

        void on_connection(tcp::socket& socket, state::time_point /*now*/) override
        {
            vm_.open_channel(std::move(socket), is_peer_, start_, [](caller_channel&) {});
        }
        void on_failure(error_code error) override
        {
            vm_.log_.write(part, "no connection accepted", {}, {{"detail", error.message()}});
        }

    private:
        implementation& vm_;
        bool is_peer_;
        call_handler_factory start_;
        connection_acceptor acceptor_;
    };

    caller_channel* open_channel(tcp::socket socket, bool is_peer,
                                 call_handler_factory const& start,
                                 std::function<void(caller_channel&)> const& on_closed)
    {
        auto const channel = std::make_shared<caller_channel>(
            std::move(socket), [this, is_peer] { return options(is_peer); }, start,
            [this, is_peer, on_closed](caller_channel& closed)
            {
                note_closed(closed, is_peer);
                on_closed(closed);
                channels_.erase(&closed);
            });
        channels_.insert(channel.get());
        channel->start();
        return channel.get();
    }

    void note_closed(caller_channel const& closed, bool is_peer)
    {
        if (closed.owed_bytes() == 0)
        {
            return;
        }
        core_.metrics.add(forward_count::answers_cut);
        core_.log.write(
            "channel", "closed with an answer unsent", {},
            {{"why", to_text(closed.end_reason())},
             {"bytes", static_cast<std::int64_t>(closed.owed_bytes())},
             {"ms_since_write", whole_milliseconds(closed.time_since_write(boot_now()))},
             {"peer", is_peer ? 1 : 0}});
    }

    [[nodiscard]] channel_options options(bool is_peer) const
    {
        channel_options options;
        options.is_peer = is_peer;
        if (core_.routing != nullptr)
        {
            options.limits = core_.routing->configuration().limits;
        }
        // A peer's request has the head of its caller's in its body.
        options.limits.body_bytes += is_peer ? 2 * options.limits.header_bytes : 0;
        options.closing = core_.closing_since != state::never;
        return options;
    }

    [[nodiscard]] std::vector<std::shared_ptr<caller_channel>> open_channels() const
    {
        std::vector<std::shared_ptr<caller_channel>> open;
        for (caller_channel* const channel : channels_)
        {
            open.push_back(channel->shared_from_this());
        }
        return open;
    }

    // A closed connection tells a caller nothing. One that was not sent anywhere may be sent by
    // another VM, and it learns so while there is time.
    void end_unanswered_calls()
    {
        for (auto const& channel : open_channels())
        {
            channel->end_unanswered_call();
        }
    }

    // Calls use the core when they end, so they must end before it is destroyed.
    void cut_channels()
    {
        for (auto const& channel : open_channels())
        {
            channel->close_now();
        }
        context_.restart();
        context_.poll();
    }

    // The system's limit binds where the settings state none, or more.
    [[nodiscard]] coordination::connection_capacity connection_capacity() const
    {
        constexpr double bytes_per_megabit = 1e6 / 8.0;
        rlimit limit{};
        std::size_t descriptors = settings_.descriptors;
        if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        {
            descriptors = descriptors == 0 ? limit.rlim_cur
                                           : std::min<std::size_t>(descriptors, limit.rlim_cur);
        }
        return {descriptors, settings_.link_mbps * bytes_per_megabit};
    }

    // -- pages ------------------------------------------------------------

    [[nodiscard]] bool is_ready() const
    {
        return core_.can_route() && core_.closing_since == state::never;
    }

    std::shared_ptr<call_handler> answer_operations(caller_channel& channel,
                                                    received_call const& call)
    {
        if (call.head.target == core_.dialect.ready_target())
        {
            bool const ready = is_ready();
            channel.answer(ready ? ok : not_ready, ready ? "ready" : "not ready", {}, {});
        }
        else if (call.head.target == "/status")
        {
            channel.answer(ok, "OK", {{"Content-Type", "application/json"}}, status_page(core_));
        }
        else if (call.head.target == "/metrics")
        {
            channel.answer(ok, "OK", {{"Content-Type", "text/plain; version=0.0.4"}},
                           core_.metrics.text(log_.dropped()) + core_.traffic.text() +
                               speed_metrics_text(core_));
        }
        else
        {
            channel.answer(not_found, "Not Found", {}, {});
        }
        return nullptr;
    }

    std::shared_ptr<call_handler> answer_peer(std::shared_ptr<caller_channel> const& from,
                                              received_call const& call)
    {
        if (call.head.target == protocol::peer_call_target)
        {
            return start_peer_call(core_, from, call);
        }
        caller_channel& channel = *from;
        if (call.head.target.starts_with(configuration_exchange::target) && core_.version() != 0)
        {
            channel.answer(ok, "OK", {}, fleet_->configuration_for(call.head.target));
        }
        else if (call.head.target == directory_exchange::target &&
                 core_.coverage != list_coverage::none)
        {
            channel.answer(ok, "OK", {}, fleet_->directory_for(call.body));
        }
        else if (call.head.target == directory_exchange::check_target &&
                 core_.coverage != list_coverage::none)
        {
            channel.answer(ok, "OK", {}, fleet_->answer_to_check());
        }
        else
        {
            channel.answer(not_found, "Not Found", {}, {});
        }
        return nullptr;
    }

    // -- time and signals ------------------------------------------------------------

    void run_maintenance()
    {
        state::time_point const now = boot_now();
        if (now - last_maintenance_ > pause_tolerance)
        {
            core_.metrics.add(forward_count::pauses);
            log_.write(part, "did not run", {},
                       {{"ms", whole_milliseconds(now - last_maintenance_)}});
            fleet_->resume_after_pause();
        }
        core_.loop_lag =
            std::max(state::duration::zero(), now - last_maintenance_ - maintenance_interval);
        last_maintenance_ = now;
        fleet_->advance();
        core_.flush_change_log(now);
        core_.pool.sweep(now);
        core_.peer_pool.sweep(now);
        core_.peers.sweep(now);
        core_.prober.advance(now);
        core_.directory.forget(now);
        core_.cold_limiter.forget(now);
        core_.quarantine.sweep();
        core_.limits.sweep();
        core_.refusal_limits.sweep();
        core_.refusals.sweep(now);
        core_.backoffs.sweep(now);
        core_.departures.sweep();
        log_readiness_change();
        log_.flush();
        bool const is_ending = core_.closing_since != state::never &&
                               now - core_.closing_since >= stop_grace_ - last_answers_margin;
        if (is_ending)
        {
            end_unanswered_calls();
        }
        if (core_.closing_since != state::never && may_stop(now))
        {
            return context_.stop();
        }
        maintenance_timer_.expires_after(maintenance_interval);
        maintenance_timer_.async_wait(
            [this](error_code error)
            {
                if (!error)
                {
                    run_maintenance();
                }
            });
    }

    void log_readiness_change()
    {
        bool const ready = is_ready();
        if (ready != was_ready_)
        {
            was_ready_ = ready;
            log_.write(part, ready ? "ready" : "not ready", {}, {});
        }
    }

    [[nodiscard]] bool may_stop(state::time_point now) const
    {
        state::duration const closing = now - core_.closing_since;
        // A call that is being uploaded is owed an answer, too; its channel's limit ends a slow
        // one.
        bool const idle = core_.calls_in_progress == 0 && closing >= balancer_detection_time &&
                          std::none_of(channels_.begin(), channels_.end(),
                                       [](caller_channel* each)
                                       { return each->awaits_reader() || each->is_reading(); });
        return idle || closing >= stop_grace_ - grace_margin;
    }

    void wait_for_signal()
    {
        signals_.async_wait(
            [this](error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                signal == SIGHUP ? reload() : begin_shutdown();
                wait_for_signal();
            });
    }

    void begin_shutdown()
    {
        if (core_.closing_since != state::never)
        {
            return;
        }
        core_.closing_since = boot_now();
        stop_grace_ = settings_.grace;
        fleet_->leave();
        log_.write(part, "stopping", {},
                   {{"calls", core_.calls_in_progress},
                    {"connections", static_cast<std::int64_t>(channels_.size())}});
    }

    // Addresses are fixed while the process runs; only limits and times may change.
    void reload()
    {
        auto const read = reread_();
        std::string changed;
        if (read)
        {
            changed = changed_settings(*read);
            settings_.grace = grace_after(read->grace);
            settings_.event_delay = read->event_delay;
            settings_.retry_limit = read->retry_limit;
            settings_.parts = read->parts;
            core_.allow_parts(read->parts);
        }
        log_.write(part, read ? "settings reloaded" : "settings not reloaded", {},
                   {{"changed", changed},
                    {"signals", static_cast<std::int64_t>(++reload_signals_)},
                    {"calls", core_.calls_in_progress}});
    }

    // The platform set the end of a stop as it began. Nothing is cut sooner; a shorter time only
    // bounds what is still sent, in case that the platform follows it.
    [[nodiscard]] state::duration grace_after(state::duration read) const
    {
        return core_.closing_since == state::never ? read : std::min(settings_.grace, read);
    }

    /// \brief Returns the names of the settings that may change and do, separated by commas.
    [[nodiscard]] std::string changed_settings(protocol::forward_settings const& read) const
    {
        std::string names;
        auto const note = [&names](std::string_view name, bool differs)
        {
            names.append(differs ? (names.empty() ? "" : ",") : "").append(differs ? name : "");
        };
        note("grace_s", read.grace != settings_.grace);
        note("event_delay_ms", read.event_delay != settings_.event_delay);
        note("repeats", !(read.retry_limit == settings_.retry_limit));
        note("load_parts", !(read.parts == settings_.parts));
        return names;
    }

    net::io_context context_{1};
    protocol::forward_settings settings_;
    decision_log log_;
    forward_core core_;
    store_reader store_;
    std::optional<fleet_exchange> fleet_;
    settings_source reread_;
    net::signal_set signals_;
    net::steady_timer maintenance_timer_;
    tcp::acceptor callers_{context_};
    tcp::acceptor ready_{context_};
    tcp::acceptor streams_{context_};
    std::unordered_set<caller_channel*> channels_;
    state::time_point last_maintenance_{};
    /// \brief The grace that was in force as the stop began.
    state::duration stop_grace_{};
    std::uint64_t reload_signals_ = 0;
    bool was_ready_ = false;
};

forwarder::forwarder(protocol::forward_settings settings, protocol::dialect const& platform_dialect,
                     settings_source reread)
    : implementation_{std::make_unique<implementation>(std::move(settings), platform_dialect,
                                                       std::move(reread))}
{
}

forwarder::~forwarder() = default;

state::result<void> forwarder::open()
{
    return implementation_->open();
}

std::uint32_t forwarder::run()
{
    return implementation_->run();
}

} // namespace plumdale::transport
