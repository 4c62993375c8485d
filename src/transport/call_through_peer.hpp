#pragma once

#include "caller_channel.hpp"
#include "forward_call.hpp"
#include "upstream_exchange.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief A call that a peer sends to an upstream, as this VM has no path to any.

namespace plumdale::transport
{

/// \brief Has one peer after another asked to take a call until one does, and forwards its answer.
///
/// A peer that declines this call, by its id, has sent nothing to an upstream. Once a peer may have
/// taken the call, no other is asked: the peer retries at other upstreams itself, within the same
/// limits.
class call_through_peer final : public call_handler,
                                public exchange_sink,
                                public std::enable_shared_from_this<call_through_peer>
{
public:
    /// \brief `admitted` has the sends that may have run before; only `peers` are asked, or all if
    /// there are none.
    call_through_peer(forward_core& core, std::shared_ptr<caller_channel> channel,
                      admitted_call admitted, std::vector<state::node_id> peers);
    ~call_through_peer() override;

    void start();

    void on_caller_disconnected() override;
    void on_caller_ready() override;
    void on_process_ending() override;
    std::optional<std::string> request() override;
    void on_head(protocol::message_head const& head, protocol::body_framing framing) override;
    void on_body(std::string bytes) override;
    void on_end(exchange_end end) override;

    /// \brief Peers that are asked before a call is refused. With two of three VMs without a path,
    /// one call in 25 finds none of the others before any is known to decline.
    static constexpr std::size_t max_peers = 8;
    /// \brief Longest idle time of a kept connection to a peer: if the peer ends at that moment, it
    /// is unknown whether it took the call.
    static constexpr state::duration max_idle = std::chrono::milliseconds{400};
    /// \brief The peer's own answer at the deadline says whether the call ran.
    static constexpr state::duration answer_margin = std::chrono::milliseconds{50};

private:
    void ask_next();
    void peer_refused(coordination::peer_refusal why);
    void forward_answer();
    void forward_refusal(state::error_kind kind);
    void on_deadline();
    void refuse(state::error_kind kind, std::string_view why, state::duration retry_after);
    void refuse_unsent(std::string_view why);
    /// \brief Refuses the call as its answer couldn't be delivered before the process ends.
    void refuse_draining();
    /// \brief Records what the end of the exchange proves of the send to this peer.
    void record_end(exchange_end end);
    /// \brief Ends an answer that can't be completed.
    void fail(std::string_view why, coordination::cut_cause cause = coordination::cut_cause::peer);
    void note_outcome(coordination::call_outcome outcome);
    void finish();
    [[nodiscard]] state::duration retry_after();
    [[nodiscard]] std::vector<protocol::header_field> answer_fields() const;
    void log(std::string_view decision, std::string_view why, std::string_view error = {});

    forward_core& core_;
    std::shared_ptr<caller_channel> channel_;
    admitted_call admitted_;
    net::steady_timer timer_;
    std::shared_ptr<upstream_exchange> exchange_;
    coordination::selected_peer peer_;
    std::vector<state::node_id> peers_;
    std::vector<state::node_id> asked_;
    /// \brief Sends to peers, after those that may have run before.
    coordination::send_record sends_;
    protocol::message_head head_;
    /// \brief The answer names this call and says whose it is.
    bool is_own_answer_ = false;
    /// \brief The error with which the peer refused the call.
    std::optional<state::error_kind> refusal_;
    /// \brief Bytes of an answer that is forwarded when it is whole.
    held_answer body_;
    /// \brief The head of a stream was forwarded.
    bool begun_ = false;
    bool finished_ = false;
};

} // namespace plumdale::transport
