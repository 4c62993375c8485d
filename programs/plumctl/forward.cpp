#include "admin_client.hpp"
#include "fleet_summary.hpp"

#include <plumdale/coordination/route_outcomes.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>

// Reads the status page that entry VMs in forwarding mode serve on their ready address.

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;
using coordination::outcome_counts;

constexpr char const* status_target = "/status";
constexpr double default_objective = 0.95;
constexpr std::size_t max_lagging_entries = 20;

json::array array_member(json::value const& page, char const* name)
{
    auto const* const found = page.is_object() ? page.as_object().if_contains(name) : nullptr;
    return found != nullptr && found->is_array() ? found->as_array() : json::array{};
}

void print_rows(json::array const& rows, std::vector<char const*> const& members)
{
    std::vector<std::vector<std::string>> table{{members.begin(), members.end()}};
    for (json::value const& row : rows)
    {
        std::vector<std::string> cells;
        for (char const* const name : members)
        {
            cells.push_back(member_text(row, name));
        }
        table.push_back(std::move(cells));
    }
    print_table(table);
}

outcome_counts counts_of(json::value const& row)
{
    outcome_counts counts{};
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        auto const* const value = row.as_object().if_contains(coordination::outcome_names[i]);
        counts[i] = value == nullptr ? 0 : value->to_number<std::uint64_t>();
    }
    return counts;
}

/// Sums the outcomes of all entry VMs that answered.
std::map<std::string, outcome_counts> sum_outcomes(std::vector<json::value> const& pages)
{
    std::map<std::string, outcome_counts> sums;
    for (json::value const& page : pages)
    {
        for (json::value const& row : array_member(page, "outcomes"))
        {
            outcome_counts const counts = counts_of(row);
            outcome_counts& sum = sums[member_text(row, "route")];
            for (std::size_t i = 0; i < counts.size(); ++i)
            {
                sum[i] += counts[i];
            }
        }
    }
    return sums;
}

void print_error_budgets(std::vector<json::value> const& pages, double objective)
{
    std::vector<std::vector<std::string>> table{
        {"ROUTE", "ON TIME", "LATE", "REFUSED", "FAILED", "LEFT", "BUDGET USED"}};
    for (auto const& [route, counts] : sum_outcomes(pages))
    {
        std::vector<std::string> cells{route};
        for (std::uint64_t const count : counts)
        {
            cells.push_back(std::to_string(count));
        }
        std::array<char, 32> used{};
        std::snprintf(used.data(), used.size(), "%.2f",
                      coordination::error_budget_used(counts, objective));
        cells.emplace_back(used.data());
        table.push_back(std::move(cells));
    }
    print_table(table);
}

void print_entries(std::vector<json::value> const& pages)
{
    json::array entries;
    for (json::value const& page : pages)
    {
        entries.push_back(page.at("entry"));
    }
    print_rows(entries,
               {"name", "zone", "ready", "configuration", "platform_age_ms", "reads_platform",
                "live_entry_vms", "calls_in_progress", "requests_quarantined"});
}

entry_status parse_entry_status(json::value const& page)
{
    json::object const& entry = page.at("entry").as_object();
    json::value const* const age = entry.if_contains("platform_age_ms");
    json::value const* const directory_digest = entry.if_contains("directory");
    entry_status parsed;
    parsed.name = member_text(entry, "name");
    parsed.zone = member_text(entry, "zone");
    parsed.is_ready = entry.at("ready").as_bool();
    parsed.is_active_reader = entry.at("reads_platform").as_bool();
    parsed.configuration = entry.at("configuration").to_number<std::uint64_t>();
    parsed.calls = entry.at("calls_in_progress").to_number<std::uint64_t>();
    // Entry VMs of an earlier version don't report it.
    parsed.directory_digest = directory_digest == nullptr ? "" : member_text(entry, "directory");
    if (age != nullptr && age->is_number())
    {
        parsed.platform_age_ms = age->to_number<std::int64_t>();
    }
    return parsed;
}

void print_fleet(std::vector<json::value> const& pages)
{
    std::vector<entry_status> entries;
    for (json::value const& page : pages)
    {
        entries.push_back(parse_entry_status(page));
    }
    std::vector<std::vector<std::string>> table{
        {"ZONE", "VMS", "READY", "READERS", "CURRENT", "AGREEING", "OLDEST PLATFORM MS", "CALLS"}};
    for (zone_summary const& zone : summarize_zones(entries))
    {
        table.push_back({zone.zone, std::to_string(zone.entry_count), std::to_string(zone.ready),
                         std::to_string(zone.readers), std::to_string(zone.on_newest_configuration),
                         std::to_string(zone.on_majority_directory),
                         std::to_string(zone.max_platform_age_ms), std::to_string(zone.calls)});
    }
    print_table(table);
    for (entry_status const& each : lagging_entries(entries, max_lagging_entries))
    {
        std::cout << "lags: " << each.name << " in " << each.zone
                  << (each.is_ready ? "" : ", not ready") << ", configuration "
                  << each.configuration << ", directory " << each.directory_digest << '\n';
    }
}

struct evacuation_status
{
    std::uint64_t revision = 0;
    std::set<std::string> in_force_at;
};

/// Returns, by zone, the newest order that any entry VM knows and the names of the entry VMs that
/// have an order in force for the zone.
std::map<std::string, evacuation_status> evacuations_by_zone(std::vector<json::value> const& pages)
{
    std::map<std::string, evacuation_status> orders;
    for (json::value const& page : pages)
    {
        json::value const& entry = page.at("entry");
        for (json::value const& row : array_member(entry, "evacuations"))
        {
            evacuation_status& order = orders[member_text(row, "zone")];
            order.revision =
                std::max(order.revision, row.at("revision").to_number<std::uint64_t>());
            order.in_force_at.insert(member_text(entry, "name"));
        }
    }
    return orders;
}

std::string names_except(std::vector<json::value> const& pages,
                         std::set<std::string> const& excluded)
{
    std::string others;
    for (json::value const& page : pages)
    {
        std::string const name = member_text(page.at("entry"), "name");
        if (!excluded.contains(name))
        {
            others += others.empty() ? name : ' ' + name;
        }
    }
    return others;
}

void print_evacuations(std::vector<json::value> const& pages)
{
    std::vector<std::vector<std::string>> table{{"ZONE", "REVISION", "IN FORCE AT", "NOT AT"}};
    for (auto const& [zone, order] : evacuations_by_zone(pages))
    {
        table.push_back({zone, std::to_string(order.revision),
                         std::to_string(order.in_force_at.size()),
                         names_except(pages, order.in_force_at)});
    }
    print_table(table);
}

int print_subject(std::string const& subject, std::vector<json::value> const& pages,
                  double objective)
{
    if (subject == "status")
    {
        print_entries(pages);
    }
    else if (subject == "fleet")
    {
        print_fleet(pages);
    }
    else if (subject == "evacuations")
    {
        print_evacuations(pages);
    }
    else if (subject == "routes")
    {
        print_rows(array_member(pages.front(), "routes"),
                   {"name", "host", "prefix", "kind", "timeout_ms", "objective_ms", "services"});
    }
    else if (subject == "upstreams")
    {
        print_rows(array_member(pages.front(), "upstreams"),
                   {"name", "service", "zone", "address", "state", "takes_work", "evacuated",
                    "cold", "stated_limit_per_minute", "backoff_ms", "takes_own_request",
                    "set_aside", "fullness", "fleet_calls", "fleet_tokens", "own_calls"});
    }
    else
    {
        print_error_budgets(pages, objective);
    }
    return 0;
}

} // namespace

int run_forward(arguments args)
{
    TCLAP::CmdLine line{"Shows entry VMs in forwarding mode: of all named their status, the fleet "
                        "by zone, who obeys which order of evacuation or the sum "
                        "of their burn, of the first one its routes or upstreams.",
                        ' ', program_version};
    line.setExceptionHandling(false);
    std::vector<std::string> subjects{"status", "fleet",     "evacuations",
                                      "routes", "upstreams", "burn"};
    TCLAP::ValuesConstraint<std::string> known{subjects};
    TCLAP::UnlabeledValueArg<std::string> subject{"subject", "what to show", true,
                                                  "",        &known,         line};
    TCLAP::ValueArg<double> objective{
        "",    "objective",       "share of calls that must be on time, for burn",
        false, default_objective, "SHARE",
        line};
    admin_options options{line};
    line.parse(args);
    std::vector<json::value> pages;
    state::failure failed{state::error_kind::connection_failed, "no entry VM answered"};
    for (std::string const& entry : options.entries.getValue())
    {
        auto const got = send_request(options, entry, {"GET", status_target, {}, ""});
        json::value page =
            got && got.value().status == 200 ? parse_body(got.value().body) : json::value{};
        if (page.is_object())
        {
            pages.push_back(std::move(page));
            continue;
        }
        failed = got ? failure_of(got.value()) : got.error();
        std::cerr << "plumctl: no status of " << entry << '\n';
    }
    if (pages.empty())
    {
        return report_failure(failed, options.json.getValue());
    }
    if (options.json.getValue())
    {
        std::cout << json::serialize(json::array(pages.begin(), pages.end())) << std::endl;
        return 0;
    }
    return print_subject(subject.getValue(), pages, objective.getValue());
}

} // namespace plumdale::plumctl
