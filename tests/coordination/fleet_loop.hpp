#pragma once

#include "fleet_models.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Many control planes in virtual time: a queue of events with injected delay and loss.

namespace plumdale::testing
{

class fleet_loop
{
public:
    fleet_loop(std::size_t nodes, std::size_t zones, std::uint64_t seed,
               node_settings const& common = {})
        : random_{seed}, zones_{zones}, common_{common}
    {
        nodes_.resize(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
        {
            nodes_[i].zone = i % zones;
            start(i);
        }
    }

    // -- faults and changes --------------------------------------------------------------------

    double loss = 0;
    /// \brief How long an engine takes to answer a read or an order.
    state::duration engine_delay = 1ms;
    platform_model platform;
    /// \brief Whether datagrams and streams pass between two zones.
    std::function<bool(std::size_t, std::size_t)> connected = [](auto, auto)
    {
        return true;
    };
    /// \brief Returns the size of a datagram in bytes; empty when bytes are not counted.
    std::function<std::size_t(peer_message const&)> size_of;
    /// \brief Bytes that one read of an engine's load takes; zero when engines do not answer.
    std::size_t load_bytes = 0;
    std::vector<std::pair<std::size_t, answer_operator>> answers;
    std::vector<std::pair<std::size_t, send_order>> orders;
    std::map<state::upstream_id, state::engine_order> engines;

    static state::endpoint endpoint_of(std::size_t node)
    {
        return {0x0a000000U + static_cast<std::uint32_t>(node), 7'000};
    }
    static state::node_id id_of(std::size_t node)
    {
        return {state::mix(node + 1, 77)};
    }

    void start(std::size_t i)
    {
        node_model& node = nodes_[i];
        node_settings settings = common_;
        settings.self = {id_of(i),       {node.zone + 1}, {1'000 + ++incarnation_count_}, 0, {},
                         endpoint_of(i), endpoint_of(i)};
        settings.fleet_key = "an example fleet key";
        settings.seeds.clear();
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, nodes_.size()); ++seed)
        {
            settings.seeds.push_back(endpoint_of(seed));
        }
        node.control.reset();
        node.settings = std::move(settings);
        node.fleet =
            std::make_unique<published<fleet_snapshot>>(std::make_shared<fleet_snapshot const>());
        node.in_flight = std::make_unique<std::atomic<std::uint32_t>>(0);
        node.control =
            std::make_unique<control_plane>(node.settings, *node.fleet, *node.in_flight, random_());
        node.paused = false;
        node.finished = false;
        node.buffered_events.clear();
        node.replaced_by = {};
        ++node.start_count;
        node.timer = now_ + std::chrono::microseconds{random_() % 500'000};
        push(node.timer, i, deadline_reached{});
    }

    void stop(std::size_t i)
    {
        ++nodes_[i].start_count;
        nodes_[i].control.reset();
    }

    void pause(std::size_t i)
    {
        nodes_[i].paused = true;
    }

    /// \brief Wakes a paused node: events queued in its sockets arrive first, all at once.
    void wake(std::size_t i, bool report_pause = true)
    {
        node_model& node = nodes_[i];
        node.paused = false;
        if (report_pause)
        {
            push(now_, i, process_paused{1s});
        }
        for (auto& [at, event] : std::exchange(node.buffered_events, {}))
        {
            push(now_, i, std::move(event));
        }
        push(now_, i, deadline_reached{});
    }

    void publish(std::uint64_t revision, control_event event)
    {
        platform.published[revision] = std::move(event);
        notify_watchers();
    }

    void notify_watchers()
    {
        for (auto& [node, watch] : std::exchange(watches_, {}))
        {
            read(node, watch);
        }
    }

    void send(std::size_t node, control_event event)
    {
        push(now_, node, std::move(event));
    }

    // -- running -------------------------------------------------------------------------------

    void run_for(state::duration time)
    {
        run_until(now_ + time, [] { return false; });
    }

    /// \brief Runs until `done`, checked after each event, or `end`; returns whether `done` held by
    /// then.
    template <class Done>
    bool run_until(state::time_point end, Done&& done)
    {
        while (!queue_.empty() && queue_.top().at <= end)
        {
            entry next = std::move(const_cast<entry&>(queue_.top()));
            queue_.pop();
            now_ = next.at;
            deliver(next);
            if (done())
            {
                return true;
            }
        }
        now_ = end;
        return done();
    }

    [[nodiscard]] state::time_point now() const
    {
        return now_;
    }
    [[nodiscard]] std::vector<node_model>& nodes()
    {
        return nodes_;
    }
    [[nodiscard]] std::shared_ptr<fleet_snapshot const> fleet(std::size_t node) const
    {
        return nodes_[node].fleet->value();
    }
    [[nodiscard]] bool alive(std::size_t node) const
    {
        return nodes_[node].control != nullptr && !nodes_[node].paused;
    }
    std::uint64_t handled = 0;

private:
    static constexpr std::uint64_t watch_expiry = UINT64_MAX;

    struct entry
    {
        state::time_point at;
        std::uint64_t order = 0;
        std::size_t node = 0;
        std::uint64_t start_count = 0;
        control_event event;
        friend bool operator<(entry const& a, entry const& b)
        {
            return std::pair{a.at, a.order} > std::pair{b.at, b.order};
        }
    };

    void push(state::time_point at, std::size_t node, control_event event)
    {
        queue_.push({at, ++order_, node, nodes_[node].start_count, std::move(event)});
    }

    state::duration delay()
    {
        return std::chrono::microseconds{500 + random_() % 1'000};
    }

    void deliver(entry& next)
    {
        node_model& node = nodes_[next.node];
        if (!node.control || next.start_count != node.start_count)
        {
            return;
        }
        bool const timer = std::holds_alternative<deadline_reached>(next.event);
        if (node.paused)
        {
            if (!timer && node.buffered_events.size() < 1'000)
            {
                node.buffered_events.emplace_back(now_, std::move(next.event));
            }
            return;
        }
        if (timer && node.control->next_deadline() > now_)
        {
            return;
        }
        auto const* const watch = std::get_if<configuration_read>(&next.event);
        if (watch != nullptr && watch->revision == watch_expiry)
        {
            return expire_watch(next.node);
        }
        ++handled;
        actions_.clear();
        node.control->handle(next.event, now_, actions_);
        for (control_action& each : actions_)
        {
            std::visit([&](auto& action) { carry_out(next.node, action); }, each);
        }
        state::time_point const deadline = std::max(node.control->next_deadline(), now_);
        if (deadline != node.timer || timer)
        {
            node.timer = deadline;
            push(deadline, next.node, deadline_reached{});
        }
    }

    void carry_out(std::size_t from, send_datagram& action)
    {
        std::size_t const to = action.to.address - 0x0a000000U;
        std::size_t const bytes = size_of ? size_of(action.message) : 0;
        count(from, bytes);
        if (to >= nodes_.size() || !connected(nodes_[from].zone, nodes_[to].zone) || lost())
        {
            return;
        }
        count(to, bytes);
        push(now_ + delay(), to, datagram_received{endpoint_of(from), std::move(action.message)});
    }

    void count(std::size_t node, std::size_t bytes)
    {
        ++nodes_[node].messages;
        nodes_[node].bytes += bytes;
    }

    bool lost()
    {
        return std::uniform_real_distribution<>{}(random_) < loss;
    }

    void carry_out(std::size_t node, read_configuration& action)
    {
        read(node, action);
    }

    void read(std::size_t node, read_configuration const& action)
    {
        if (platform.down || platform.disconnected_zones.count(nodes_[node].zone) != 0)
        {
            return push(now_ + delay(), node, configuration_read_failed{});
        }
        state::time_point const at = now_ + delay();
        std::uint64_t const newest = platform.newest();
        if (newest <= action.after && action.wait > state::duration{})
        {
            watches_.emplace_back(node, action);
            return push(now_ + action.wait, node, configuration_read{watch_expiry});
        }
        for (auto const& [revision, event] : platform.published)
        {
            if (revision > action.after && revision <= newest)
            {
                push(at, node, event);
            }
        }
        push(at, node, configuration_read{newest});
    }

    void expire_watch(std::size_t node)
    {
        auto const at = std::find_if(watches_.begin(), watches_.end(),
                                     [node](auto const& each) { return each.first == node; });
        if (at != watches_.end())
        {
            read_configuration const again{at->second.after, {}};
            watches_.erase(at);
            read(node, again);
        }
    }

    void carry_out(std::size_t node, read_vm_list& /*action*/)
    {
        bool const reachable =
            !platform.down && platform.disconnected_zones.count(nodes_[node].zone) == 0;
        push(now_ + delay(), node,
             reachable ? control_event{platform.list} : control_event{vm_list_failed{}});
    }

    void carry_out(std::size_t node, request_content& action)
    {
        std::size_t const peer = action.streams.address - 0x0a000000U;
        bool const reachable = alive(peer) && connected(nodes_[node].zone, nodes_[peer].zone);
        if (!reachable)
        {
            return push(now_ + 1s, node, content_unavailable{action.peer, action.content});
        }
        state::exchange_handle const exchange{++exchanges_};
        readers_[exchange.value] = node;
        push(now_ + delay(), peer, content_requested{exchange, action.content});
    }

    void carry_out(std::size_t node, send_content& action)
    {
        std::size_t const reader = readers_[action.exchange.value];
        auto const known = platform.published.find(action.content.revision);
        if (action.key.empty() || known == platform.published.end())
        {
            return push(now_ + delay(), reader, content_unavailable{id_of(node), action.content});
        }
        push(now_ + 2 * delay(), reader, known->second);
    }

    void carry_out(std::size_t node, answer_operator& action)
    {
        answers.emplace_back(node, action);
    }

    void carry_out(std::size_t node, read_order& action)
    {
        push(now_ + engine_delay, node, order_read{action.upstream, engines[action.upstream]});
    }

    void carry_out(std::size_t node, send_order& action)
    {
        orders.emplace_back(node, action);
        engines[action.upstream] = action.order;
        push(now_ + engine_delay, node, order_read{action.upstream, action.order});
    }

    void carry_out(std::size_t node, read_load& action)
    {
        if (load_bytes != 0)
        {
            nodes_[node].bytes += load_bytes;
            state::load_report report;
            report.upstream = action.upstream;
            report.sequence = static_cast<std::uint64_t>(now_.time_since_epoch().count());
            report.blocks_total = 1'000;
            push(now_ + delay(), node, load_reported{report});
        }
    }

    void carry_out(std::size_t node, incarnation_replaced& action)
    {
        nodes_[node].replaced_by = action.newest;
    }

    void carry_out(std::size_t node, drain_finished& /*action*/)
    {
        nodes_[node].finished = true;
    }

    std::mt19937_64 random_;
    std::size_t zones_;
    node_settings common_;
    std::vector<node_model> nodes_;
    std::priority_queue<entry> queue_;
    control_actions actions_;
    std::vector<std::pair<std::size_t, read_configuration>> watches_;
    std::map<std::uint64_t, std::size_t> readers_;
    std::uint64_t exchanges_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t incarnation_count_ = 0;
    state::time_point now_ = start_time;
};

} // namespace plumdale::testing
