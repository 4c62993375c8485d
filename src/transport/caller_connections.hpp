#pragma once

#include "caller_channel.hpp"
#include "connection_acceptor.hpp"
#include "forward_core.hpp"

#include <plumdale/coordination/connection_admission.hpp>

#include <cstddef>
#include <functional>
#include <unordered_set>

/// \file
/// \brief Callers' new connections, of which a VM takes those that it can serve.

namespace plumdale::transport
{

/// \brief Accepts callers' connections and closes those unread that this VM can't serve now.
class caller_connections final : public connection_sink
{
public:
    /// \brief Opens the channel of a connection and returns it; calls `on_closed` at its end.
    using channel_opener =
        std::function<caller_channel*(tcp::socket socket, call_handler_factory const& start,
                                      std::function<void(caller_channel&)> const& on_closed)>;

    caller_connections(forward_core& core, tcp::acceptor& acceptor,
                       coordination::connection_capacity const& capacity, channel_opener open);
    caller_connections(caller_connections const&) = delete;
    caller_connections& operator=(caller_connections const&) = delete;
    ~caller_connections() override;

    void on_queue_empty(state::time_point now) override;
    std::size_t begin_turn(state::time_point now) override;
    void on_connection(tcp::socket& socket, state::time_point now) override;
    void on_failure(boost::system::error_code error) override;

    /// \brief Time between two log lines about connections that were not taken.
    static constexpr state::duration log_interval = std::chrono::seconds{1};
    /// \brief Time between two counts of the channels whose call arrives.
    static constexpr state::duration count_interval = std::chrono::milliseconds{10};

private:
    void take(tcp::socket socket);
    [[nodiscard]] coordination::connection_load load() const;
    void log_untaken(std::string_view decision, std::string_view why, state::time_point now);

    forward_core& core_;
    coordination::connection_admission admission_;
    channel_opener open_;
    std::unordered_set<caller_channel const*> channels_;
    /// \brief Channels whose call was arriving when that was last counted.
    std::size_t reading_count_ = 0;
    state::time_point counted_at_{};
    std::size_t untaken_ = 0;
    state::time_point logged_at_{};
    connection_acceptor acceptor_;
};

} // namespace plumdale::transport
