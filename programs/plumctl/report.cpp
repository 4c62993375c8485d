#include "admin_client.hpp"
#include "error_budget_page.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

std::string burn_rate_text(json::value const& window)
{
    std::array<char, 64> text{};
    auto const bad = window.at("bad").to_number<std::uint64_t>();
    auto const all = bad + window.at("good").to_number<std::uint64_t>();
    if (all == 0)
    {
        return "-";
    }
    std::snprintf(text.data(), text.size(), "%.2f (%llu/%llu)",
                  window.at("burn").to_number<double>(), static_cast<unsigned long long>(bad),
                  static_cast<unsigned long long>(all));
    return text.data();
}

void print_report(std::string const& entry, json::value const& report)
{
    std::vector<std::string> heading{entry, "CUSTOMER", "OBJECTIVE"};
    for (json::value const& window : report.at("windows_s").as_array())
    {
        heading.push_back(json::serialize(window) + " S");
    }
    std::vector<std::vector<std::string>> rows{heading};
    for (json::value const& row : report.at("rows").as_array())
    {
        for (json::value const& target : report.at("goals").as_array())
        {
            std::string const name = member_text(target, "name");
            std::vector<std::string> cells{member_text(row, "service"),
                                           member_text(row, "customer"), name};
            for (json::value const& window : row.at("objectives").at(name).as_array())
            {
                cells.push_back(burn_rate_text(window));
            }
            rows.push_back(std::move(cells));
        }
    }
    print_table(rows);
}

/// Reads each entry VM's report; sets `code` to the exit code of the last failure.
json::object read_reports(admin_options const& options, int& code)
{
    json::object reports;
    for (std::string const& entry : options.entries.getValue())
    {
        auto const got = send_request(options, entry, {"GET", "/admin/burn", {}, ""});
        if (!got || got.value().status != 200)
        {
            code = report_failure(got ? failure_of(got.value()) : got.error(), false);
            continue;
        }
        reports[entry] = parse_body(got.value().body);
    }
    return reports;
}

} // namespace

int run_report(arguments args)
{
    TCLAP::CmdLine line{"Reports the burn of each objective, by service and customer: the share of "
                        "bad events over the share that the objective allows (bad/all events).",
                        ' ', program_version};
    line.setExceptionHandling(false);
    admin_options options{line};
    TCLAP::ValueArg<std::string> page{"o",    "html", "write an HTML page to this file", false, "",
                                      "FILE", line};
    TCLAP::UnlabeledValueArg<std::string> topic{"topic", "burn", true, "", "TOPIC", line};
    line.parse(args);
    if (topic.getValue() != "burn")
    {
        return report_failure({state::error_kind::invalid_request, "the report is burn"},
                              options.json.getValue());
    }
    int code = 0;
    json::object const reports = read_reports(options, code);
    if (options.json.getValue())
    {
        std::cout << json::serialize(reports) << std::endl;
    }
    else
    {
        for (auto const& report : reports)
        {
            print_report(std::string{report.key()}, report.value());
        }
    }
    if (page.isSet())
    {
        std::ofstream{page.getValue()} << error_budget_page(reports);
    }
    return code;
}

} // namespace plumdale::plumctl
