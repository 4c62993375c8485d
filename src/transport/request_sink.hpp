#pragma once

#include <plumdale/coordination/request_events.hpp>

#include <cstdint>

/// \file
/// \brief The interface that receives the transport's request events.

namespace plumdale::transport
{

/// \brief Passes events to the shards; any thread may call.
class request_sink
{
public:
    request_sink() = default;
    request_sink(request_sink const&) = delete;
    request_sink& operator=(request_sink const&) = delete;
    virtual ~request_sink() = default;

    /// \brief Passes a new request to the shard that decides on it; returns that shard.
    /// `preferred_shard` is the worker that read it.
    virtual std::uint32_t receive(coordination::request_received received,
                                  std::uint32_t preferred_shard) = 0;
    /// \brief Passes an event to a shard.
    virtual void post(std::uint32_t shard, coordination::request_event event) = 0;
};

} // namespace plumdale::transport
