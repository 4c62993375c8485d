#include "boot_clock.hpp"
#include "plain_call.hpp"
#include "stream_call.hpp"

#include <plumdale/coordination/closing_grace.hpp>
#include <plumdale/protocol/digest.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using state::error_kind;

// Keys and routes are unknown until a configuration arrives, milliseconds after the store or a peer
// answers.
constexpr state::duration unconfigured_retry_after = std::chrono::milliseconds{300};

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

coordination::call_demand demand_of(protocol::call_headers const& terms)
{
    std::uint32_t const expected =
        terms.output_hint == 0 ? terms.output_limit / 2 : terms.output_hint;
    return {terms.prompt_tokens, std::min(expected, terms.output_limit)};
}

// Other upstreams than engines say nothing of their pace: their objective stands for it.
state::duration usual_run(forward_core const& core, admitted_call const& admitted)
{
    state::service const& service = *admitted.service;
    if (!service.engine)
    {
        return admitted.route->target_latency;
    }
    std::size_t const upstreams =
        std::max<std::size_t>(1, core.directory.members_of(service.name).size());
    auto const beside = static_cast<std::uint32_t>(core.running_calls(service) / upstreams);
    coordination::engine_pace const& pace = core.selector.pace();
    return pace.reading_time(admitted.demand.prompt_tokens) +
           pace.generating_time(admitted.demand.output_tokens, beside + 1);
}

coordination::call_need need_of(forward_core const& core, admitted_call const& admitted)
{
    return {admitted.route->kind, admitted.call.read_at, admitted.deadline,
            usual_run(core, admitted)};
}

/// \brief Why a call is rejected, and the error that its caller receives.
struct rejection
{
    error_kind kind;
    std::string_view why;
};

std::optional<rejection> resolve_call(forward_core& core, admitted_call& admitted)
{
    if (!core.can_route())
    {
        return rejection{error_kind::not_ready, "no configuration or upstreams yet"};
    }
    protocol::message_head const& head = admitted.call.head;
    if (admitted.headers.id.empty() || head.count("Host") != 1)
    {
        return rejection{error_kind::invalid_request, "no id, or not one host"};
    }
    admitted.table = core.routing;
    admitted.route =
        admitted.table->find_route(without_port(*head.find("Host")), path_of(head.target));
    if (admitted.route == nullptr)
    {
        return rejection{error_kind::unknown_model, "no route"};
    }
    bool const needs_key =
        !admitted.table->configuration().customers.empty() && !admitted.route->is_public;
    admitted.customer = needs_key ? admitted.table->find_customer(admitted.headers.key) : nullptr;
    if (needs_key && admitted.customer == nullptr)
    {
        return rejection{error_kind::unauthenticated, "unknown key"};
    }
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    admitted.service = admitted.table->find_service(
        coordination::routing_table::service_of(*admitted.route, draw(core.random)));
    if (admitted.service == nullptr)
    {
        return rejection{error_kind::no_upstream, "the route's service is not configured"};
    }
    state::duration const left = admitted.headers.time_left.value_or(admitted.route->timeout);
    admitted.deadline = admitted.call.read_at + std::min(left, admitted.route->timeout);
    admitted.demand = demand_of(admitted.headers);
    if (!may_send_before_stop(core, admitted, boot_now()))
    {
        return rejection{error_kind::draining, shutting_down};
    }
    return std::nullopt;
}

state::request_digest request_digest_of(admitted_call const& admitted)
{
    protocol::message_head const& head = admitted.call.head;
    std::string_view const customer =
        admitted.customer == nullptr ? std::string_view{} : admitted.customer->name;
    return protocol::digest_of_request(head.method, without_port(*head.find("Host")), head.target,
                                       customer, admitted.call.body);
}

} // namespace

bool may_send_before_stop(forward_core const& core, admitted_call const& admitted,
                          state::time_point now)
{
    coordination::closing_grace const grace{core.closing_since, core.settings.grace};
    return !grace.is_closing() || grace.may_send(need_of(core, admitted), now);
}

std::shared_ptr<call_handler> start_call(forward_core& core,
                                         std::shared_ptr<caller_channel> const& channel,
                                         received_call call, call_origin const& origin)
{
    core.metrics.add(forward_count::calls);
    admitted_call admitted;
    admitted.call = std::move(call);
    admitted.origin = origin;
    admitted.headers = core.dialect.read_call(admitted.call.head);
    if (auto const rejected = resolve_call(core, admitted))
    {
        core.log.write("call", "turned away", admitted.headers.id,
                       {{"why", rejected->why},
                        {"status", state::answer_for(rejected->kind).status},
                        {"configuration",
                         core.routing == nullptr
                             ? 0
                             : static_cast<std::int64_t>(core.routing->configuration().version)}});
        core.metrics.add(forward_count::refused);
        channel->refuse(coordination::send_record{origin.possible_runs}.refusal_as(rejected->kind),
                        unconfigured_retry_after);
        return nullptr;
    }
    admitted.request = request_digest_of(admitted);
    bool const streams = admitted.route->kind == state::call_kind::streaming;
    std::shared_ptr<forward_call> started;
    if (streams)
    {
        started = std::make_shared<stream_call>(core, channel, std::move(admitted));
    }
    else
    {
        started = std::make_shared<plain_call>(core, channel, std::move(admitted));
    }
    started->start();
    return started;
}

} // namespace plumdale::transport
