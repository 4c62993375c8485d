#pragma once

#include "forward_call.hpp"

#include <string>

/// \file
/// \brief A call with one whole answer.

namespace plumdale::transport
{

/// \brief Buffers the answer until it is complete, so that a damaged one is never forwarded and an
/// idempotent call can be retried instead.
class plain_call final : public forward_call
{
public:
    plain_call(forward_core& core, std::shared_ptr<caller_channel> channel, admitted_call admitted);

    void on_head(protocol::message_head const& head, protocol::body_framing framing) override;
    void on_body(std::string bytes) override;

private:
    void on_closed() override;
    void answer_ended(exchange_end end) override;
    void on_timeout() override;
    void on_timer(state::time_point now) override;
    [[nodiscard]] state::time_point next_deadline() const override;
    [[nodiscard]] bool is_success() const;
    [[nodiscard]] bool may_send_again() const;
    /// \brief Returns when the call is sent to another upstream though this one may still answer;
    /// `never` if it may not be sent again.
    [[nodiscard]] state::time_point slow_at() const;
    void deliver_answer();

    held_answer body_;
};

} // namespace plumdale::transport
