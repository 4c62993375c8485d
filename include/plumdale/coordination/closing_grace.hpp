#pragma once

#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/time.hpp>

#include <chrono>

/// \file
/// \brief What a VM that is being stopped may still send.

namespace plumdale::coordination
{

/// \brief What a call asks of a VM that is being stopped.
struct call_need
{
    state::call_kind kind = state::call_kind::non_idempotent;
    /// \brief When its last byte was read.
    state::time_point read_at{};
    /// \brief When the time of its caller or of its route is over: by then it has ended.
    state::time_point deadline{};
    /// \brief How long its answer usually takes from a send on.
    state::duration usual_run{};
};

/// \brief Decides whether the answer to a call that is sent now can be delivered before the process
/// ends.
///
/// It is asked when a call is admitted, and again at each send and each hand-over to a peer: a call
/// may wait in line, or be sent once more, long after it was read. Example:
/// \code
/// closing_grace grace{closing_since, settings.grace};
/// if (!grace.may_send(need, now)) { channel.refuse(sends.refusal_as(draining), retry_after); }
/// \endcode
class closing_grace
{
public:
    /// \brief The balancer may still send calls for this long after a stop began.
    static constexpr state::duration early_time = std::chrono::seconds{3};
    /// \brief The process stops 0.15 s before its grace is over, and checks every 50 ms whether it
    /// may stop.
    static constexpr state::duration last_answer_margin = std::chrono::milliseconds{300};

    /// \brief `since` is when the stop began; `state::never` before.
    constexpr closing_grace(state::time_point since, state::duration grace) noexcept
        : since_{since}, grace_{grace}
    {
    }

    [[nodiscard]] constexpr bool is_closing() const noexcept
    {
        return since_ != state::never;
    }
    /// \brief Returns the last moment at which an answer can begin to be delivered.
    [[nodiscard]] constexpr state::time_point last_answer_at() const noexcept
    {
        return is_closing() ? since_ + grace_ - last_answer_margin : state::never;
    }
    /// \brief Returns whether a call may be sent to an upstream, or handed to a peer.
    [[nodiscard]] bool may_send(call_need const& call, state::time_point now) const noexcept;

private:
    [[nodiscard]] bool was_read_early(call_need const& call) const noexcept;

    state::time_point since_;
    state::duration grace_;
};

} // namespace plumdale::coordination
