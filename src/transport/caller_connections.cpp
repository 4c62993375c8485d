#include "caller_connections.hpp"

#include "boot_clock.hpp"
#include "forward_call.hpp"
#include "milliseconds.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::transport
{

caller_connections::caller_connections(forward_core& core, tcp::acceptor& acceptor,
                                       coordination::connection_capacity const& capacity,
                                       channel_opener open)
    : core_{core}, admission_{capacity}, open_{std::move(open)}, acceptor_{core.context, acceptor,
                                                                           *this}
{
    core_.on_call_bytes = [this](std::size_t bytes)
    {
        admission_.note_sent(bytes, boot_now());
    };
    acceptor_.start();
}

caller_connections::~caller_connections()
{
    core_.on_call_bytes = [](std::size_t /*bytes*/) {
    };
}

void caller_connections::on_queue_empty(state::time_point now)
{
    admission_.queue_empty(now);
}

std::size_t caller_connections::begin_turn(state::time_point now)
{
    admission_.begin_turn(now);
    if (now >= counted_at_ + count_interval)
    {
        counted_at_ = now;
        reading_count_ = static_cast<std::size_t>(std::count_if(channels_.begin(), channels_.end(),
                                                                [](caller_channel const* each)
                                                                { return each->is_reading(); }));
    }
    return admission_.batch();
}

void caller_connections::on_connection(tcp::socket& socket, state::time_point now)
{
    auto const why = admission_.decide(load(), now);
    if (why == coordination::connection_refusal::none)
    {
        return take(std::move(socket));
    }
    core_.metrics.add(forward_count::connections_closed_unread);
    log_untaken("connections closed unread", coordination::to_text(why), now);
}

void caller_connections::on_failure(boost::system::error_code error)
{
    log_untaken("no connection accepted", error.message(), boot_now());
}

void caller_connections::take(tcp::socket socket)
{
    channels_.insert(open_(
        std::move(socket),
        [this](std::shared_ptr<caller_channel> const& channel, received_call call)
        { return start_call(core_, channel, std::move(call)); },
        [this](caller_channel& closed) { channels_.erase(&closed); }));
}

coordination::connection_load caller_connections::load() const
{
    coordination::connection_load load;
    load.connections = channels_.size();
    load.reading = reading_count_;
    load.calls = core_.calls_in_progress;
    load.calls_through_peers = core_.calls_through_peers;
    load.peers = core_.fleet.peers().size();
    load.is_path_lost = core_.reach.is_lost();
    load.loop_lag = core_.loop_lag;
    return load;
}

void caller_connections::log_untaken(std::string_view decision, std::string_view why,
                                     state::time_point now)
{
    ++untaken_;
    if (now < logged_at_ + log_interval)
    {
        return;
    }
    logged_at_ = now;
    core_.log.write("connections", decision, {},
                    {{"why", why},
                     {"count", static_cast<std::int64_t>(std::exchange(untaken_, 0))},
                     {"open", static_cast<std::int64_t>(channels_.size())},
                     {"reading", static_cast<std::int64_t>(reading_count_)},
                     {"calls", core_.calls_in_progress},
                     {"batch", static_cast<std::int64_t>(admission_.batch())},
                     {"lag_ms", whole_milliseconds(core_.loop_lag)}});
}

} // namespace plumdale::transport
