#include <plumdale/protocol/error_budget_text.hpp>

#include <boost/json.hpp>

#include <sstream>

namespace plumdale::protocol
{
namespace
{

namespace json = boost::json;
using coordination::error_budget_report;
using coordination::error_budget_row;
using coordination::error_budget_settings;
using coordination::objective_count;

json::object quantiles(coordination::latency_quantiles const& from)
{
    if (!from.has_estimate())
    {
        return {{"samples", from.samples}, {"p50", nullptr}, {"p95", nullptr}, {"p99", nullptr}};
    }
    return {{"samples", from.samples}, {"p50", from.p50}, {"p95", from.p95}, {"p99", from.p99}};
}

json::array windows(error_budget_row const& row, std::size_t objective, double share)
{
    json::array all;
    for (coordination::error_budget_window const& window : row.objectives[objective])
    {
        json::array slots;
        for (coordination::event_counts const& slot : window.slots)
        {
            slots.push_back(burn_rate(slot, share));
        }
        all.push_back(json::object{{"good", window.total.good},
                                   {"bad", window.total.bad},
                                   {"burn", burn_rate(window.total, share)},
                                   {"slots", std::move(slots)}});
    }
    return all;
}

json::object row_json(error_budget_row const& row, error_budget_settings const& settings,
                      error_budget_names const& names)
{
    json::object objectives;
    for (std::size_t i = 0; i < objective_count; ++i)
    {
        objectives[settings.targets[i].name] = windows(row, i, settings.targets[i].share);
    }
    return {{"service", names.service(row.key.service)},
            {"customer", names.customer(row.key.customer)},
            {"objectives", std::move(objectives)},
            {"first_token_ms", quantiles(row.first_token)},
            {"token_gap_ms", quantiles(row.token_gap)}};
}

std::int64_t seconds(state::duration time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

// Label values come from the configuration, so they may contain characters that the format
// reserves.
std::string escaped(std::string const& value)
{
    std::string out;
    for (char const c : value)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

void write_quantiles(std::ostringstream& out, char const* name, std::string const& labels,
                     coordination::latency_quantiles const& from)
{
    if (from.has_estimate())
    {
        out << name << "{" << labels << ",quantile=\"0.5\"} " << from.p50 << '\n';
        out << name << "{" << labels << ",quantile=\"0.95\"} " << from.p95 << '\n';
        out << name << "{" << labels << ",quantile=\"0.99\"} " << from.p99 << '\n';
    }
    out << name << "_count{" << labels << "} " << from.samples << '\n';
}

} // namespace

std::string error_budget_json(error_budget_report const& report,
                              error_budget_settings const& settings,
                              error_budget_names const& names)
{
    json::array lengths;
    for (state::duration const window : settings.windows)
    {
        lengths.push_back(seconds(window));
    }
    json::array targets;
    for (coordination::objective_target const& target : settings.targets)
    {
        targets.push_back(json::object{{"name", target.name},
                                       {"share", target.share},
                                       {"limit_ms", target.limit / std::chrono::milliseconds{1}}});
    }
    json::array rows;
    for (error_budget_row const& row : report)
    {
        rows.push_back(row_json(row, settings, names));
    }
    return json::serialize(json::object{{"windows_s", std::move(lengths)},
                                        {"goals", std::move(targets)},
                                        {"rows", std::move(rows)}});
}

std::string error_budget_metrics(error_budget_report const& report,
                                 error_budget_settings const& settings,
                                 error_budget_names const& names)
{
    std::ostringstream burn;
    std::ostringstream first;
    std::ostringstream gap;
    burn << "# TYPE plumdale_burn_rate gauge\n";
    first << "# TYPE plumdale_first_token_milliseconds summary\n";
    gap << "# TYPE plumdale_token_gap_milliseconds summary\n";
    for (error_budget_row const& row : report)
    {
        std::string const labels = "service=\"" + escaped(names.service(row.key.service)) +
                                   "\",customer=\"" + escaped(names.customer(row.key.customer)) +
                                   "\"";
        for (std::size_t i = 0; i < objective_count; ++i)
        {
            for (std::size_t w = 0; w < coordination::error_budget_window_count; ++w)
            {
                burn << "plumdale_burn_rate{" << labels << ",objective=\""
                     << settings.targets[i].name << "\",window_s=\"" << seconds(settings.windows[w])
                     << "\"} " << burn_rate(row.objectives[i][w].total, settings.targets[i].share)
                     << '\n';
            }
        }
        write_quantiles(first, "plumdale_first_token_milliseconds", labels, row.first_token);
        write_quantiles(gap, "plumdale_token_gap_milliseconds", labels, row.token_gap);
    }
    return burn.str() + first.str() + gap.str();
}

} // namespace plumdale::protocol
