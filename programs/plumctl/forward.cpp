#include "admin_client.hpp"
#include "fleet_page.hpp"

#include <plumdale/coordination/route_outcomes.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>

// Entry VMs in forwarding mode: what they serve on their ready address.

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;
using coordination::outcome_counts;

constexpr char const* status_target = "/status";
constexpr double usual_objective = 0.95;
constexpr std::size_t most_lagging = 20;

json::array rows_of(json::value const& page, char const* name)
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
std::map<std::string, outcome_counts> summed(std::vector<json::value> const& pages)
{
    std::map<std::string, outcome_counts> sums;
    for (json::value const& page : pages)
    {
        for (json::value const& row : rows_of(page, "outcomes"))
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

void print_burn(std::vector<json::value> const& pages, double objective)
{
    std::vector<std::vector<std::string>> table{
        {"ROUTE", "ON TIME", "LATE", "REFUSED", "FAILED", "LEFT", "BUDGET USED"}};
    for (auto const& [route, counts] : summed(pages))
    {
        std::vector<std::string> cells{route};
        for (std::uint64_t const count : counts)
        {
            cells.push_back(std::to_string(count));
        }
        std::array<char, 32> used{};
        std::snprintf(used.data(), used.size(), "%.2f",
                      coordination::budget_used(counts, objective));
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

entry_standing standing_of(json::value const& page)
{
    json::object const& entry = page.at("entry").as_object();
    json::value const* const age = entry.if_contains("platform_age_ms");
    json::value const* const directory = entry.if_contains("directory");
    entry_standing standing;
    standing.name = member_text(entry, "name");
    standing.zone = member_text(entry, "zone");
    standing.is_ready = entry.at("ready").as_bool();
    standing.reads_store = entry.at("reads_platform").as_bool();
    standing.configuration = entry.at("configuration").to_number<std::uint64_t>();
    standing.calls = entry.at("calls_in_progress").to_number<std::uint64_t>();
    // Entry VMs of a former version don't tell it.
    standing.directory = directory == nullptr ? "" : member_text(entry, "directory");
    if (age != nullptr && age->is_number())
    {
        standing.platform_age_ms = age->to_number<std::int64_t>();
    }
    return standing;
}

void print_fleet(std::vector<json::value> const& pages)
{
    std::vector<entry_standing> entries;
    for (json::value const& page : pages)
    {
        entries.push_back(standing_of(page));
    }
    std::vector<std::vector<std::string>> table{
        {"ZONE", "VMS", "READY", "READERS", "CURRENT", "AGREEING", "OLDEST PLATFORM MS", "CALLS"}};
    for (zone_standing const& zone : zones_of(entries))
    {
        table.push_back({zone.zone, std::to_string(zone.entries), std::to_string(zone.ready),
                         std::to_string(zone.readers), std::to_string(zone.current),
                         std::to_string(zone.agreeing), std::to_string(zone.oldest_platform_ms),
                         std::to_string(zone.calls)});
    }
    print_table(table);
    for (entry_standing const& each : lagging(entries, most_lagging))
    {
        std::cout << "lags: " << each.name << " in " << each.zone
                  << (each.is_ready ? "" : ", not ready") << ", configuration "
                  << each.configuration << ", directory " << each.directory << '\n';
    }
}

struct order_standing
{
    std::uint64_t revision = 0;
    std::set<std::string> obeyed_by;
};

/// By zone, the newest order that any entry VM knows, and who has one in force for it.
std::map<std::string, order_standing> orders_of(std::vector<json::value> const& pages)
{
    std::map<std::string, order_standing> orders;
    for (json::value const& page : pages)
    {
        json::value const& entry = page.at("entry");
        for (json::value const& row : rows_of(entry, "evacuations"))
        {
            order_standing& order = orders[member_text(row, "zone")];
            order.revision =
                std::max(order.revision, row.at("revision").to_number<std::uint64_t>());
            order.obeyed_by.insert(member_text(entry, "name"));
        }
    }
    return orders;
}

std::string names_beside(std::vector<json::value> const& pages, std::set<std::string> const& named)
{
    std::string others;
    for (json::value const& page : pages)
    {
        std::string const name = member_text(page.at("entry"), "name");
        if (!named.contains(name))
        {
            others += others.empty() ? name : ' ' + name;
        }
    }
    return others;
}

void print_evacuations(std::vector<json::value> const& pages)
{
    std::vector<std::vector<std::string>> table{{"ZONE", "REVISION", "IN FORCE AT", "NOT AT"}};
    for (auto const& [zone, order] : orders_of(pages))
    {
        table.push_back({zone, std::to_string(order.revision),
                         std::to_string(order.obeyed_by.size()),
                         names_beside(pages, order.obeyed_by)});
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
        print_rows(rows_of(pages.front(), "routes"),
                   {"name", "host", "prefix", "kind", "timeout_ms", "objective_ms", "services"});
    }
    else if (subject == "upstreams")
    {
        print_rows(rows_of(pages.front(), "upstreams"),
                   {"name", "service", "zone", "address", "state", "takes_work", "evacuated",
                    "cold", "stated_limit_per_minute", "takes_own_request", "set_aside", "fullness",
                    "fleet_calls", "fleet_tokens", "own_calls"});
    }
    else
    {
        print_burn(pages, objective);
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
        "",    "objective",     "share of calls that are to be on time, for burn",
        false, usual_objective, "SHARE",
        line};
    admin_options options{line};
    line.parse(args);
    std::vector<json::value> pages;
    state::failure failed{state::error_kind::connection_failed, "no entry VM answered"};
    for (std::string const& entry : options.entries.getValue())
    {
        auto const got = ask(options, entry, {"GET", status_target, {}, ""});
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
