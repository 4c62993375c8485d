#include <plumdale/coordination/projected_memory_policy.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

// Cost of a dispatch decision: nanoseconds to decide and to account for a token, and memory, by
// the number of engines. Example: bench_decision_cost

namespace
{

using namespace plumdale;
using namespace plumdale::coordination;

constexpr state::model_id model = state::id_from_name<state::model_id>("lists");
constexpr std::uint32_t customers = 660;

state::time_point at(double seconds)
{
    return state::time_point{std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double>{1000.0 + seconds})};
}

double now_ns()
{
    auto const now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::nano>(now).count();
}

fleet_snapshot fleet_of(std::uint32_t engines, std::uint32_t entry_vms)
{
    fleet_snapshot fleet;
    fleet.version = 1;
    for (std::uint32_t i = 0; i < engines; ++i)
    {
        upstream_view view;
        view.info.id = state::upstream_id{state::mix(i, 5) | 1U};
        view.info.zone = state::zone_id{1};
        view.info.model = model;
        view.gauge = std::make_shared<upstream_gauge>();
        view.gauge->blocks_total = 4096;
        view.gauge->blocks_used = 1000 + i % 500;
        view.gauge->running = 20;
        view.gauge->reported_at = at(0).time_since_epoch().count();
        fleet.upstreams.push_back(view);
    }
    for (std::uint32_t i = 0; i < customers; ++i)
    {
        state::customer one;
        one.id = state::customer_id{i + 1};
        fleet.customers.push_back(one);
    }
    for (std::uint32_t i = 1; i < entry_vms; ++i)
    {
        state::member one;
        one.id = state::node_id{i + 1};
        one.zone = state::zone_id{1};
        fleet.members.push_back(one);
    }
    return fleet;
}

void measure(std::uint32_t engines, std::uint32_t entry_vms, std::uint32_t full_engines)
{
    fleet_snapshot const fleet = fleet_of(engines, entry_vms);
    for (std::uint32_t i = 0; i < full_engines; ++i)
    {
        fleet.upstreams[i].gauge->blocks_used = 4096;
    }
    projected_memory_policy policy{{state::node_id{1}, state::zone_id{1}, 1}, {}, 1};
    constexpr std::uint32_t rounds = 20'000;
    constexpr std::uint32_t tokens = 64;
    std::vector<state::request> requests(rounds);
    double deciding = 0.0;
    double counting = 0.0;
    std::uint32_t placed = 0;
    for (std::uint32_t i = 0; i < rounds; ++i)
    {
        state::time_point const now = at(0.5 + 0.0001 * i);
        state::request& request = requests[i];
        request.kind = i % 10 < 3 ? state::work_kind::draft : state::work_kind::question;
        request.customer = state::customer_id{1 + i % customers};
        request.model = model;
        request.prompt_tokens = 300;
        double const before = now_ns();
        auto const decision = policy.decide({request, now, 0, {}}, fleet, now);
        deciding += now_ns() - before;
        if (decision.verdict != dispatch_verdict::dispatch)
        {
            continue;
        }
        ++placed;
        state::stream_handle const stream{i + 1};
        policy.started(stream, request, *decision.upstream, now);
        double const first = now_ns();
        for (std::uint32_t token = 0; token < tokens; ++token)
        {
            policy.token(stream, token, now);
        }
        counting += now_ns() - first;
        policy.ended(stream, tokens, stream_outcome::finished, now);
    }
    std::printf("{\"engines\":%u,\"entry_vms\":%u,\"full\":%u,\"decide_ns\":%.0f,"
                "\"token_ns\":%.1f,\"placed\":%u}\n",
                engines, entry_vms, full_engines, deciding / rounds,
                placed == 0 ? 0.0 : counting / placed / tokens, placed);
}

} // namespace

int main()
{
    for (std::uint32_t const engines : {12U, 60U, 790U})
    {
        std::uint32_t const entry_vms = engines == 790 ? 27 : 8;
        measure(engines, entry_vms, 0);
        measure(engines, entry_vms, engines);
    }
    std::printf("{\"bytes_per_engine\":%zu,\"bytes_per_length_key\":%zu,"
                "\"bytes_per_request\":%zu}\n",
                sizeof(upstream_gauge) + sizeof(upstream_view), length_estimator::estimate_bytes(),
                projected_memory_policy::stream_bytes());
    return 0;
}
