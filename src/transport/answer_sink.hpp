#pragma once

#include <plumdale/coordination/request_actions.hpp>

/// \file
/// \brief The interface through which answers are delivered.

namespace plumdale::transport
{

/// \brief A waiting caller: an HTTP exchange, or a relaying peer. Called on the caller's own
/// thread.
class answer_sink
{
public:
    answer_sink() = default;
    answer_sink(answer_sink const&) = delete;
    answer_sink& operator=(answer_sink const&) = delete;
    virtual ~answer_sink() = default;

    /// \brief Returns whether part of an answer was sent.
    [[nodiscard]] virtual bool has_started() const noexcept = 0;

    virtual void deliver(coordination::send_head const& head) = 0;
    virtual void deliver(coordination::send_token const& token) = 0;
    virtual void deliver(coordination::send_finished const& finished) = 0;
    virtual void deliver(coordination::send_refused const& refused) = 0;
};

} // namespace plumdale::transport
