#include "policy/fleet_run.hpp"

#include <plumdale/coordination/memory_cap_policy.hpp>
#include <plumdale/coordination/projected_memory_policy.hpp>

#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>

// One run of the policy bench: prints one line of JSON. scripts/measure runs the whole table.

namespace
{

using namespace bench;

/// \brief Returns the factory of a policy by name: projected, oracle, or a ranking with a memory
/// cap, as in `two_choices:0.8`; a cap above 1 refuses nothing.
policy_factory make_policy_factory(std::string const& name)
{
    if (name == "projected")
    {
        return [](policy_context const& context)
        {
            return std::make_unique<co::projected_memory_policy>(
                co::entry_vm_placement{context.node, context.zone, 1}, co::subset_limits{},
                context.seed);
        };
    }
    if (name == "oracle")
    {
        return [](policy_context const& context)
        {
            return std::make_unique<oracle>(context.truth, context.seed);
        };
    }
    auto const colon = name.find(':');
    std::string const ranking = name.substr(0, colon);
    double const cap = colon == std::string::npos ? 2.0 : std::stod(name.substr(colon + 1));
    return [ranking, cap](policy_context const& context) -> std::unique_ptr<co::dispatch_policy>
    {
        std::unique_ptr<co::balancing_strategy> chosen;
        if (ranking == "round_robin")
        {
            chosen = std::make_unique<co::round_robin>();
        }
        else if (ranking == "least_connections")
        {
            chosen = std::make_unique<co::least_connections>();
        }
        else if (ranking == "least_reported_load")
        {
            chosen = std::make_unique<co::least_reported_load>();
        }
        else
        {
            chosen = std::make_unique<co::two_choices>(context.seed);
        }
        return std::make_unique<co::memory_cap_policy>(std::move(chosen), cap);
    };
}

fault_kind fault_named(std::string const& name)
{
    static constexpr std::pair<char const*, fault_kind> names[] = {
        {"none", fault_kind::none},
        {"engine_death", fault_kind::engine_death},
        {"third_dies", fault_kind::third_dies},
        {"reclaim", fault_kind::reclaim},
        {"zone_cut", fault_kind::zone_cut},
        {"burst", fault_kind::burst},
        {"switching", fault_kind::switching}};
    for (auto const& [text, kind] : names)
    {
        if (name == text)
        {
            return kind;
        }
    }
    throw TCLAP::ArgException("no such fault", name);
}

scenario scenario_named(std::string const& deployment)
{
    scenario run_scenario;
    run_scenario.deployment = deployment;
    if (deployment == "muscat")
    {
        run_scenario.zones = 3;
        run_scenario.entry_vms = 9;
    }
    else if (deployment == "deciders100")
    {
        run_scenario.zones = 4;
        run_scenario.engines = 120;
        run_scenario.entry_vms = 100;
    }
    else if (deployment == "deciders380")
    {
        run_scenario.zones = 14;
        run_scenario.engines = 420;
        run_scenario.entry_vms = 380;
    }
    return run_scenario;
}

double share(std::uint64_t of, std::uint64_t all)
{
    return all == 0 ? 0.0 : static_cast<double>(of) / static_cast<double>(all);
}

void print_kind(char const* name, kind_measures const& kind, double seconds)
{
    std::printf(",\"%s\":{\"asked\":%llu,\"refused\":%.5f,\"finished\":%llu,\"interrupted\":%llu,"
                "\"tokens_per_second\":%.1f,\"stall_per_answer\":%.5f,\"gap_p50\":%.5f,"
                "\"gap_p95\":%.5f,\"gap_p99\":%.5f,\"gap_p999\":%.5f,\"first_p50\":%.4f,"
                "\"first_p99\":%.4f}",
                name, static_cast<unsigned long long>(kind.asked), share(kind.refused, kind.asked),
                static_cast<unsigned long long>(kind.finished),
                static_cast<unsigned long long>(kind.interrupted),
                static_cast<double>(kind.tokens) / seconds,
                kind.finished == 0 ? 0.0 : kind.stall_seconds / static_cast<double>(kind.finished),
                kind.gaps.quantile(0.5), kind.gaps.quantile(0.95), kind.gaps.quantile(0.99),
                kind.gaps.quantile(0.999), kind.first_token.quantile(0.5),
                kind.first_token.quantile(0.99));
}

/// \brief Returns the mean of the memory limit factors that the deciders have adapted; 0 for other
/// policies.
double mean_limit(fleet_run const& run)
{
    double sum = 0.0;
    double count = 0.0;
    run.for_each_policy(
        [&](co::dispatch_policy const& each)
        {
            if (auto const* ours = dynamic_cast<co::projected_memory_policy const*>(&each))
            {
                sum += ours->limit_factor(st::id_from_name<st::model_id>("lists"));
                count += 1.0;
            }
        });
    return count == 0.0 ? 0.0 : sum / count;
}

void print(scenario const& run_scenario, std::string const& policy, std::string const& fault,
           measures const& result, double limit)
{
    double const tokens = static_cast<double>(result.question.tokens + result.draft.tokens);
    double const fault_end = run_scenario.fault_at + run_scenario.fault_seconds;
    double const worst = worst_modest_share(result.customers);
    std::printf("{\"deployment\":\"%s\",\"policy\":\"%s\",\"load\":%.2f,\"fault\":\"%s\","
                "\"seed\":%llu,\"preemptions\":%.3f,\"preemptions_during\":%.3f,"
                "\"preemptions_after\":%.3f,\"tokens_per_second\":%.1f,\"worst_modest\":%.4f,"
                "\"retries\":%llu,\"untrue\":%llu,\"limit\":%.4f",
                run_scenario.deployment.c_str(), policy.c_str(), run_scenario.load, fault.c_str(),
                static_cast<unsigned long long>(run_scenario.seed),
                result.preemption_rate(run_scenario.warm_up, run_scenario.seconds),
                result.preemption_rate(run_scenario.fault_at, fault_end + 10.0),
                result.preemption_rate(fault_end + 10.0, run_scenario.seconds),
                tokens / result.seconds, worst, static_cast<unsigned long long>(result.retries),
                static_cast<unsigned long long>(result.false_refusals), limit);
    print_kind("question", result.question, result.seconds);
    print_kind("draft", result.draft, result.seconds);
    std::printf("}\n");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command{"Runs one policy against engine models in virtual time."};
        TCLAP::ValueArg<std::string> deployment{
            "d",    "deployment", "heredia, muscat, deciders100 or deciders380", false, "heredia",
            "name", command};
        TCLAP::ValueArg<std::string> policy{"p",         "policy", "policy", false,
                                            "projected", "name",   command};
        TCLAP::ValueArg<std::string> fault{"f", "fault", "fault", false, "none", "name", command};
        TCLAP::ValueArg<double> load{"l", "load", "multiple of capacity", false, 1.0, "x", command};
        TCLAP::ValueArg<std::uint64_t> seed{"s", "seed", "seed", false, 1, "n", command};
        TCLAP::ValueArg<double> seconds{"t", "seconds", "length", false, 360.0, "s", command};
        command.parse(argc, argv);

        scenario run_scenario = scenario_named(deployment.getValue());
        run_scenario.load = load.getValue();
        run_scenario.seed = seed.getValue();
        run_scenario.fault = fault_named(fault.getValue());
        run_scenario.seconds = seconds.getValue();
        fleet_run run{run_scenario, make_policy_factory(policy.getValue())};
        st::preset maintenance = run_scenario.preset;
        maintenance.max_batch = 32;
        maintenance.question_headroom = 0.2;
        run.alternate_with(maintenance);
        measures const result = run.run();
        print(run_scenario, policy.getValue(), fault.getValue(), result, mean_limit(run));
        return 0;
    }
    catch (TCLAP::ArgException const& problem)
    {
        std::fprintf(stderr, "%s %s\n", problem.error().c_str(), problem.argId().c_str());
        return 2;
    }
}
