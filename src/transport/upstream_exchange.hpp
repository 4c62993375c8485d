#pragma once

#include "connection_failure.hpp"
#include "delivery_watch.hpp"
#include "net.hpp"
#include "upstream_pool.hpp"

#include <plumdale/protocol/answer_reader.hpp>
#include <plumdale/state/service_member.hpp>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief One call sent to one upstream, and its answer.

namespace plumdale::transport
{

/// \brief How an exchange ended.
enum class exchange_end : std::uint8_t
{
    complete,    ///< The answer ended as its framing says.
    closed,      ///< It has no length, and the upstream closed the connection in order.
    unreachable, ///< No connection: nothing was sent.
    not_sent,    ///< `exchange_sink::request` declined: nothing was sent.
    broken,      ///< The upstream ended the connection first.
    lost,        ///< The path to it is lost.
    invalid,     ///< It sent no valid answer; it may be at work on the request.
};

/// \brief Returns the word for an end in log lines.
[[nodiscard]] std::string_view to_text(exchange_end end) noexcept;

/// \brief Provides the request of an exchange and receives its answer. Called on the loop, not
/// after `upstream_exchange::cancel()`.
class exchange_sink
{
public:
    exchange_sink() = default;
    exchange_sink(exchange_sink const&) = delete;
    exchange_sink& operator=(exchange_sink const&) = delete;
    virtual ~exchange_sink() = default;

    /// \brief Returns the complete request, made at the last moment; none to send nothing.
    virtual std::optional<std::string> request() = 0;
    virtual void on_head(protocol::message_head const& head, protocol::body_framing framing) = 0;
    virtual void on_body(std::string bytes) = 0;
    virtual void on_end(exchange_end end) = 0;
};

/// \brief Opens or reuses a connection, writes, reads; keeps the connection if it may.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
    struct options
    {
        state::member_key member;
        state::endpoint address;
        /// \brief Where the connection is opened from; zeros for any address.
        state::endpoint source{};
        bool without_body = false;
        /// \brief Longest idle time of a kept connection; zero to always open a new one.
        state::duration max_idle{};
        /// \brief Keeps the connection afterwards.
        bool keep = true;
    };

    upstream_exchange(net::io_context& context, upstream_pool& pool, options chosen,
                      exchange_sink& sink);

    void start();
    /// \brief Ends the exchange and closes the connection, at which most upstreams stop the work.
    void cancel();
    /// \brief Pauses reading while the caller accepts no more, and resumes it.
    void pause(bool paused);
    /// \brief Sets how long the upstream keeps the idle connection, from its answer's head.
    void keep_alive(std::optional<state::duration> time, bool closes);
    /// \brief Returns whether a byte of the request may have been sent.
    [[nodiscard]] bool sent() const noexcept
    {
        return sent_;
    }
    [[nodiscard]] bool reused() const noexcept
    {
        return reused_;
    }
    /// \brief Returns why there is no connection, after `exchange_end::unreachable`.
    [[nodiscard]] connection_failure failure() const noexcept
    {
        return failure_;
    }

    /// \brief An upstream in another zone answers within 3 ms; one whose accept queue is full drops
    /// the first packet, which is retransmitted after a second: too late to wait for.
    static constexpr auto connect_timeout = std::chrono::milliseconds{350};
    /// \brief After this long with unacknowledged bytes the path counts as lost.
    static constexpr state::duration path_timeout = std::chrono::seconds{3};
    /// \brief An upstream that acknowledges may leave bytes unread for longer than any caller
    /// waits.
    static constexpr state::duration unread_timeout = std::chrono::seconds{60};
    /// \brief Requests that are larger may find no room at an upstream that doesn't read yet.
    static constexpr std::size_t watched_request_bytes = 4UL * 1024;
    /// \brief How often the delivery of such a request is looked at.
    static constexpr state::duration delivery_check = std::chrono::milliseconds{250};
    /// \brief Largest head of an upstream's answer in bytes.
    static constexpr std::uint32_t head_limit = 16 * 1024;
    static constexpr std::uint64_t body_limit = 64ULL * 1024 * 1024;

private:
    void connect();
    void fail_to_connect(connection_failure failure);
    void send();
    /// \brief Looks at the delivery of a large request until it has arrived.
    void watch_delivery();
    void check_delivery();
    void read();
    void on_read(boost::system::error_code error, std::size_t bytes);
    /// \brief Returns how the connection ended, which a read alone can't tell.
    [[nodiscard]] boost::system::error_code
    end_of_connection(boost::system::error_code read_error) const noexcept;
    void append_bytes(std::string_view bytes);
    void report_progress();
    void finish(exchange_end end);

    net::io_context& context_;
    upstream_pool& pool_;
    options options_;
    exchange_sink* sink_;
    std::unique_ptr<tcp::socket> socket_;
    /// \brief For the connecting, and then for the delivery.
    net::steady_timer timer_;
    delivery_watch delivery_{path_timeout};
    protocol::answer_reader reader_;
    std::string request_;
    std::array<char, 4096> buffer_{};
    std::optional<state::duration> keep_alive_;
    connection_failure failure_ = connection_failure::none;
    boost::system::error_code write_error_;
    bool closes_ = false;
    bool sent_ = false;
    bool written_ = false;
    bool reused_ = false;
    bool head_reported_ = false;
    bool paused_ = false;
    bool reading_ = false;
};

} // namespace plumdale::transport
