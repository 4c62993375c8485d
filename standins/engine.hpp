#pragma once

#include "engine_model.hpp"
#include "engine_orders.hpp"
#include "engine_reports.hpp"
#include "http_server.hpp"
#include "stream_readers.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief An engine's HTTP interface: streams, load, cache events, orders, record and injected
/// faults.

namespace plumdale::standins
{

struct engine_wire_settings
{
    report_settings reports;
    std::chrono::milliseconds load_sample_interval{50};
    std::chrono::milliseconds retain_finished{60'000};
    std::chrono::milliseconds heartbeat_interval{1'000};
    std::chrono::milliseconds load_weights{0};
    bool fences_orders = true;
    std::uint64_t incarnation_number = 0; ///< As the platform lists it; zero uses the start time.
};

/// \brief Serves one engine on one thread.
class engine
{
public:
    engine(boost::asio::io_context& io, engine_settings const& model,
           engine_wire_settings const& wire);

    void handle(http_request const& request, http_exchange_ptr const& exchange);

private:
    using clock = std::chrono::steady_clock;

    // -- calls of an entry VM --------------------------------------------------------------------
    void serve(http_request const& request, http_exchange_ptr const& exchange);
    void serve_stream(http_request const& request, http_exchange_ptr const& exchange);
    void start_stream(http_request const& request, http_exchange_ptr const& exchange);
    void resume_stream(engine_run const& run, std::uint32_t from,
                       http_exchange_ptr const& exchange);
    void cancel_stream(engine_run const& run, http_exchange_ptr const& exchange);
    void handle_order(http_request const& request, http_exchange_ptr const& exchange);

    // -- calls of tests --------------------------------------------------------------------------
    void control(http_request const& request, http_exchange_ptr const& exchange);
    [[nodiscard]] std::string record_text() const;

    // -- timers ----------------------------------------------------------------------------------
    void step();
    void deliver(engine_step const& done);
    void sample_load();
    void send_heartbeats();
    [[nodiscard]] bool is_retention_expired(engine_run const& run) const;

    boost::asio::io_context& io_;
    engine_settings settings_;
    engine_wire_settings wire_;
    engine_model model_;
    stream_readers readers_;
    engine_orders orders_;
    engine_reports reports_;
    std::vector<std::uint32_t>
        delivered_; ///< Tokens sent, by run; a step sends its tokens at its end.
    std::unordered_map<std::uint32_t, clock::time_point> ended_at_; ///< When a run ended.
    std::unordered_set<std::uint32_t>
        started_while_leaving_; ///< Runs started after `leaving_since_`.
    boost::asio::steady_timer step_timer_;
    boost::asio::steady_timer load_timer_;
    boost::asio::steady_timer heartbeat_timer_;
    clock::time_point leaving_since_ = clock::time_point::max();
    double slowdown_ = 1.0;
    bool step_pending_ = false;
    bool silent_ = false;
    bool refuse_ = false;
    bool ignore_cancels_ = false;
};

} // namespace plumdale::standins
