#include "peer_call_admission.hpp"

#include "milliseconds.hpp"

#include <plumdale/protocol/peer_call.hpp>

#include <optional>
#include <utility>

namespace plumdale::transport
{
namespace
{

using state::error_kind;

// This VM's own callers keep the most of its descriptors and memory.
constexpr std::uint32_t max_peer_calls = 256;
// A loop that runs later than this has more work than processor time.
constexpr state::duration max_loop_lag = std::chrono::milliseconds{150};

/// \brief Why this VM takes no call of a peer now.
struct decline
{
    error_kind kind = error_kind::peer_declined;
    std::string_view why;
};

std::optional<decline> reason_to_decline(forward_core const& core, protocol::peer_call const& call)
{
    if (core.closing_since != state::never)
    {
        return decline{error_kind::peer_declined, "this entry VM shuts down"};
    }
    if (core.reach.is_lost())
    {
        return decline{error_kind::peer_declined, "no upstream reached"};
    }
    if (core.peer_calls_in_progress >= max_peer_calls || core.loop_lag > max_loop_lag)
    {
        return decline{error_kind::peer_declined, "busy"};
    }
    if (!core.can_route() || core.version() != call.configuration)
    {
        return decline{error_kind::peer_out_of_step, "another configuration"};
    }
    return std::nullopt;
}

} // namespace

std::shared_ptr<call_handler> start_peer_call(forward_core& core,
                                              std::shared_ptr<caller_channel> const& channel,
                                              received_call const& request)
{
    auto decoded = protocol::decode_peer_call(request.body, core.settings.fleet_key);
    if (!decoded)
    {
        core.metrics.add(forward_count::news_rejected);
        channel->refuse(coordination::send_record{}.decline_as(error_kind::invalid_request),
                        state::duration::zero());
        return nullptr;
    }
    protocol::peer_call& call = decoded.value();
    if (auto const declined = reason_to_decline(core, call))
    {
        core.metrics.add(forward_count::peer_calls_declined);
        core.log.write("call", "peer's call declined", {},
                       {{"why", declined->why},
                        {"configuration", static_cast<std::int64_t>(core.version())},
                        {"peers_configuration", static_cast<std::int64_t>(call.configuration)},
                        {"in_progress", core.peer_calls_in_progress},
                        {"lag_ms", whole_milliseconds(core.loop_lag)}});
        channel->refuse(coordination::send_record{}.decline_as(declined->kind),
                        state::duration::zero());
        return nullptr;
    }
    core.metrics.add(forward_count::peer_calls);
    received_call received{std::move(call.head), std::move(call.body), request.read_at - call.age};
    return start_call(core, channel, std::move(received),
                      {true, call.possible_runs, call.is_counted});
}

} // namespace plumdale::transport
