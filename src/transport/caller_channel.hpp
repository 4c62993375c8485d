#pragma once

#include "net.hpp"

#include <plumdale/coordination/refusal.hpp>
#include <plumdale/protocol/http_reader.hpp>
#include <plumdale/state/routing_configuration.hpp>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief A caller's connection to a forwarding entry VM.

namespace plumdale::transport
{

class caller_channel;

/// \brief A completely received call.
struct received_call
{
    protocol::message_head head;
    std::string body;
    /// \brief When its last byte was read.
    state::time_point read_at{};
};

/// \brief Handles one call.
class call_handler
{
public:
    call_handler() = default;
    call_handler(call_handler const&) = delete;
    call_handler& operator=(call_handler const&) = delete;
    virtual ~call_handler() = default;

    /// \brief Called once if the caller disconnects before its answer has ended.
    virtual void on_caller_disconnected() = 0;
    /// \brief Called after a write when the caller's send buffer isn't full.
    virtual void on_caller_ready() = 0;
    /// \brief Called as the process is about to end and no answer has begun: the call is refused.
    virtual void on_process_ending() = 0;
};

/// \brief Creates the handler of a call. The handler answers through the channel, immediately or
/// later.
using call_handler_factory =
    std::function<std::shared_ptr<call_handler>(std::shared_ptr<caller_channel>, received_call)>;

/// \brief Settings that a channel reads from its owner each time it needs them.
struct channel_options
{
    state::caller_limits limits;
    /// \brief The entry VM is leaving: answers carry `Connection: close`.
    bool closing = false;
    /// \brief The caller is a peer: answers state whose they are.
    bool is_peer = false;
};

/// \brief Why a caller's connection was closed.
enum class channel_end : std::uint8_t
{
    open,            ///< It is not closed.
    idle,            ///< No call arrived within the idle limit.
    request_timeout, ///< A call was not received whole within its limit.
    answered,        ///< The last answer was sent, and the caller had time to read it.
    stalled,         ///< The caller took none of the bytes that waited for it.
    lost,            ///< The caller closed it, or a read or write failed.
    stopped          ///< The process ends.
};

/// \brief Returns the name of a reason in log lines.
[[nodiscard]] std::string_view to_text(channel_end why) noexcept;

/// \brief Reads calls one at a time, detects that the caller disconnects, and writes answers in
/// order.
class caller_channel : public std::enable_shared_from_this<caller_channel>
{
public:
    caller_channel(tcp::socket socket, std::function<channel_options()> options,
                   call_handler_factory start, std::function<void(caller_channel&)> on_closed);

    void start();
    /// \brief Has another handler take over the call in progress.
    void hand_over(std::shared_ptr<call_handler> handler);
    /// \brief Has the call in progress refused as the process ends, unless its answer has begun.
    void end_unanswered_call();
    /// \brief Closes the connection immediately, also during a call.
    void close_now();

    /// \brief Returns whether a call has begun to arrive and is not complete.
    [[nodiscard]] bool is_reading() const noexcept
    {
        return stage_ == stage::reading;
    }

    /// \brief Returns the bytes of answers that were not passed to the system yet.
    [[nodiscard]] std::size_t owed_bytes() const noexcept
    {
        return pending_.size() + sending_.size();
    }
    /// \brief Returns whether the caller hasn't taken all bytes of its answers.
    [[nodiscard]] bool awaits_reader();
    /// \brief Returns why the connection was closed.
    [[nodiscard]] channel_end end_reason() const noexcept
    {
        return end_;
    }
    /// \brief Returns how long ago the last bytes were written; zero if none were.
    [[nodiscard]] state::duration time_since_write(state::time_point now) const noexcept
    {
        return written_at_ == state::time_point{} ? state::duration::zero() : now - written_at_;
    }

    // -- answers ------------------------------------------------------------
    /// \brief Sends a complete answer and adds the header fields that frame its body.
    void answer(unsigned status, std::string_view reason,
                std::vector<protocol::header_field> const& fields, std::string_view body);
    /// \brief Sends an error answer as the error table defines it.
    void refuse(coordination::refusal const& answer, state::duration retry_delay);
    /// \brief Begins an answer of unknown length.
    void begin(unsigned status, std::string_view reason,
               std::vector<protocol::header_field> const& fields);
    void send_chunk(std::string_view bytes);
    /// \brief Ends a begun answer as complete.
    void end();
    /// \brief Closes the connection, so that a begun answer is seen to be incomplete.
    void abort_answer();

    /// \brief Returns whether more than `buffer_limit` bytes wait to be sent.
    [[nodiscard]] bool is_full() const noexcept
    {
        return owed_bytes() > buffer_limit;
    }

    /// \brief Bytes waiting for a slow caller above which its upstream is not read: two seconds of
    /// a stream's events.
    static constexpr std::size_t buffer_limit = 64UL * 1024;
    /// \brief Bytes of pipelined calls that are read ahead while one is in progress.
    static constexpr std::size_t max_read_ahead = 32UL * 1024;
    /// \brief The connection of a caller that takes nothing for this long, though bytes wait for
    /// it, is closed.
    static constexpr state::duration stall_timeout = std::chrono::seconds{45};

private:
    enum class stage : std::uint8_t
    {
        idle,
        reading,
        in_call,
        closing,
        closed
    };

    void read();
    void on_read(boost::system::error_code error, std::size_t bytes);
    /// \brief Delivers what is left of the last answer to a caller that sends nothing more.
    void deliver_rest();
    void parse_input();
    void begin_call();
    void refuse_malformed();
    void finish_call(bool keep);
    void write();
    void on_written(boost::system::error_code error);
    void arm_timer(state::duration time);
    void wait_for_timer(state::duration time);
    void on_timer();
    void close_at_limit();
    void close(channel_end why);
    void on_connection_lost();
    /// \brief `origin` is whose answer it is, which peers are told.
    void append_head(std::string_view origin, unsigned status, std::string_view reason,
                     std::vector<protocol::header_field> const& fields);
    void answer_from(std::string_view origin, unsigned status, std::string_view reason,
                     std::vector<protocol::header_field> const& fields, std::string_view body);

    tcp::socket socket_;
    std::function<channel_options()> current_options_;
    call_handler_factory make_handler_;
    std::function<void(caller_channel&)> on_closed_;
    net::steady_timer timer_;
    protocol::http_reader reader_;
    std::string unparsed_;
    std::shared_ptr<call_handler> handler_;
    std::string pending_;
    std::string sending_;
    std::array<char, 4096> buffer_{};
    stage stage_ = stage::idle;
    channel_end end_ = channel_end::open;
    state::time_point written_at_{};
    /// \brief The limit that the timer waits for.
    state::duration limit_{};
    std::size_t unread_by_caller_ = 0;
    state::time_point progress_at_{};
    std::uint64_t call_count_ = 0;
    /// \brief The id that a peer's request names its call by.
    std::string peer_call_;
    bool reading_ = false;
    bool was_awaiting_ = false;
    bool close_after_answer_ = false;
    bool close_requested_ = false;
    /// \brief The head of the answer to the call in progress was queued.
    bool has_begun_answer_ = false;
    bool is_head_request_ = false;
};

} // namespace plumdale::transport
