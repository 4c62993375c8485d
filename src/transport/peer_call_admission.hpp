#pragma once

#include "forward_call.hpp"

#include <memory>

/// \file
/// \brief Calls that peers without a path to upstreams have this VM send.

namespace plumdale::transport
{

/// \brief Takes the call in a peer's request and starts it, or declines it through the channel and
/// returns null. A call that is taken runs like one of this VM's own callers.
[[nodiscard]] std::shared_ptr<call_handler>
start_peer_call(forward_core& core, std::shared_ptr<caller_channel> const& channel,
                received_call const& request);

} // namespace plumdale::transport
