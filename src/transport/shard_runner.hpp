#pragma once

#include "engine_stream.hpp"
#include "pause_detector.hpp"
#include "relay_client.hpp"
#include "worker.hpp"

#include <plumdale/coordination/entry_node.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <span>
#include <unordered_map>

/// \file
/// \brief Runs one request shard on its worker.

namespace plumdale::transport
{

/// \brief Feeds one shard its events and carries out its actions, on the worker of the same index.
class shard_runner
{
public:
    shard_runner(coordination::entry_node& node, std::uint32_t shard,
                 std::span<std::unique_ptr<worker> const> workers, link_settings const& links,
                 state::duration pause_tolerance);

    /// \brief Passes an event on; any thread may call.
    void post(coordination::request_event event);

private:
    void handle(coordination::request_event const& event);
    void apply_event(coordination::request_event const& event);
    void forward_to_relay(coordination::request_event const& event);
    void arm_timer();
    void on_timer();

    void carry_out(coordination::open_stream const& action);
    void carry_out(coordination::close_stream const& action);
    void carry_out(coordination::cancel_generation const& action);
    void carry_out(coordination::pause_stream const& action);
    void carry_out(coordination::continue_stream const& action);
    void carry_out(coordination::relay_request const& action);
    void carry_out(coordination::close_relay const& action);
    template <class Answer>
    void carry_out(Answer const& answer);

    coordination::entry_node& node_;
    std::uint32_t shard_;
    std::span<std::unique_ptr<worker> const> workers_;
    worker& own_worker_;
    net::io_context& context_;
    net::steady_timer timer_;
    state::time_point timer_at_ = state::never;
    bool is_timer_armed_ = false;
    pause_detector pause_detector_;
    coordination::cached_reader<coordination::fleet_snapshot> fleet_;
    coordination::request_actions reusable_actions_;
    relay_client relay_client_;
    std::shared_ptr<answer_memory> answers_held_ = std::make_shared<answer_memory>();
    std::unordered_map<state::stream_handle, std::shared_ptr<upstream_stream>> streams_;
};

} // namespace plumdale::transport
