#pragma once

#include "held_answer.hpp"
#include "net.hpp"

#include <plumdale/coordination/request_actions.hpp>
#include <plumdale/coordination/request_events.hpp>

#include <functional>
#include <memory>

/// \file
/// \brief One exchange with an upstream.

namespace plumdale::transport
{

/// \brief Receives the events of one exchange, on the thread that opened it.
using stream_listener = std::function<void(coordination::request_event)>;

/// \brief An open exchange with an upstream. Ends with one finished or failed event, or `close()`.
class upstream_stream
{
public:
    upstream_stream() = default;
    upstream_stream(upstream_stream const&) = delete;
    upstream_stream& operator=(upstream_stream const&) = delete;
    virtual ~upstream_stream() = default;

    /// \brief Stops reading until `resume()`.
    virtual void pause() = 0;
    virtual void resume() = 0;
    /// \brief Ends the exchange; no event follows.
    virtual void close() = 0;
};

/// \brief Opens an exchange; `model` is the name that the engine knows. `answers_held` counts the
/// answers of all calls of its shard.
[[nodiscard]] std::shared_ptr<upstream_stream>
open_engine_stream(net::io_context& context, coordination::open_stream open, std::string model,
                   std::shared_ptr<answer_memory> answers_held, stream_listener listener);

} // namespace plumdale::transport
