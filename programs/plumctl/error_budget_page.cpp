#include "error_budget_page.hpp"

#include "admin_client.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

constexpr double plot_width = 215;
constexpr double plot_height = 90;
constexpr double left_margin = 30;
constexpr double bottom_margin = 18;
constexpr double top_margin = 8;

constexpr std::string_view page_head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>plumdale: burn of the error budgets</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:1180px;padding:0 1rem;color:#1c2430;background:#fff}
h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.15rem;margin:2rem 0 .4rem;border-bottom:1px solid #ccd3db}
h3{font-size:1rem;margin:1.2rem 0 .4rem}p{max-width:75ch}
table{border-collapse:collapse;margin:.4rem 0 1rem}th,td{padding:.25rem .8rem;text-align:right;border-bottom:1px solid #e4e8ed}
th:first-child,td:first-child{text-align:left}.hot{background:#fbe3e0;font-weight:600}.warm{background:#fdf3d8}
.plots{display:flex;flex-wrap:wrap;gap:1rem;margin-bottom:.8rem}figure{margin:0}figcaption{font-size:.85rem;color:#4a5563}
svg{border:1px solid #e4e8ed;background:#fafbfc}text{font:10px system-ui,sans-serif;fill:#4a5563}
</style></head><body>
<h1>Burn of the error budgets</h1>
<p>A burn of 1 uses the budget exactly as fast as the objective allows; above 1 it runs out early.
Cells above 1 are yellow, above 10 red. Each plot shows the slots of one window, oldest left; the
dashed line is a burn of 1. Objectives without events have no plots.</p>
)";

std::string escape_html(std::string_view text)
{
    std::string out;
    for (char const c : text)
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string format_number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), value >= 100 ? "%.0f" : "%.2f", value);
    return text.data();
}

std::string window_name(std::int64_t seconds)
{
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 3600;
    return seconds >= hour ? std::to_string(seconds / hour) + " h"
                           : std::to_string(seconds / minute) + " min";
}

void write_cell(std::ostringstream& out, json::object const& window)
{
    double const burn = window.at("burn").to_number<double>();
    auto const events =
        window.at("good").to_number<std::uint64_t>() + window.at("bad").to_number<std::uint64_t>();
    char const* const style = burn > 10 ? " class=\"hot\"" : burn > 1 ? " class=\"warm\"" : "";
    out << "<td" << style << " title=\"" << window.at("bad").to_number<std::uint64_t>() << " of "
        << events << "\">" << (events == 0 ? "no events" : format_number(burn)) << "</td>";
}

void write_table(std::ostringstream& out, json::object const& report, json::object const& row)
{
    out << "<table><tr><th>objective</th><th>target</th>";
    for (json::value const& window : report.at("windows_s").as_array())
    {
        out << "<th>" << window_name(window.to_number<std::int64_t>()) << "</th>";
    }
    out << "</tr>\n";
    for (json::value const& target : report.at("goals").as_array())
    {
        std::string const name = member_text(target, "name");
        auto const limit = target.at("limit_ms").to_number<std::int64_t>();
        out << "<tr><td>" << escape_html(name) << "</td><td>"
            << format_number(target.at("share").to_number<double>() * 100) << "%"
            << (limit > 0 ? " within " + std::to_string(limit) + " ms" : "") << "</td>";
        for (json::value const& window : row.at("objectives").at(name).as_array())
        {
            write_cell(out, window.as_object());
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

void write_latency(std::ostringstream& out, json::object const& row)
{
    out << "<table><tr><th>since start, ms</th><th>samples</th><th>p50</th><th>p95</th><th>p99</th>"
           "</tr>\n";
    for (char const* const name : {"first_token_ms", "token_gap_ms"})
    {
        json::value const& from = row.at(name);
        out << "<tr><td>" << name << "</td><td>" << member_text(from, "samples") << "</td>";
        for (char const* const quantile : {"p50", "p95", "p99"})
        {
            json::value const& time = from.at(quantile);
            out << "<td>" << (time.is_null() ? "-" : format_number(time.to_number<double>()))
                << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

// Draws one window's slots as bars. The scale always includes 1, so that the dashed line shows.
void write_plot(std::ostringstream& out, std::string const& caption, json::array const& slots)
{
    double top = 1.2;
    for (json::value const& slot : slots)
    {
        top = std::max(top, slot.to_number<double>() * 1.1);
    }
    auto const y = [top](double burn)
    {
        return top_margin + plot_height * (1 - burn / top);
    };
    double const width = left_margin + plot_width + 8;
    double const height = top_margin + plot_height + bottom_margin;
    out << "<figure><svg width=\"" << width << "\" height=\"" << height
        << "\" role=\"img\" aria-label=\"" << escape_html(caption) << "\">";
    double const step = plot_width / static_cast<double>(slots.size());
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        double const burn = slots[i].to_number<double>();
        char const* const colour = burn > 10 ? "#c0392b" : burn > 1 ? "#d99a1c" : "#3f7f5f";
        out << "<rect x=\"" << left_margin + step * static_cast<double>(i) + 2 << "\" y=\""
            << y(burn) << "\" width=\"" << step - 4 << "\" height=\""
            << std::max(burn > 0 ? 1.5 : 0.0, top_margin + plot_height - y(burn)) << "\" fill=\""
            << colour << "\"/>";
    }
    out << "<line x1=\"" << left_margin << "\" x2=\"" << left_margin + plot_width << "\" y1=\""
        << y(0) << "\" y2=\"" << y(0) << "\" stroke=\"#8793a0\"/>"
        << "<line x1=\"" << left_margin << "\" x2=\"" << left_margin + plot_width << "\" y1=\""
        << y(1) << "\" y2=\"" << y(1) << "\" stroke=\"#1c2430\" stroke-dasharray=\"4 3\"/>"
        << "<text x=\"4\" y=\"" << y(1) + 3 << "\">1</text><text x=\"4\" y=\"" << y(0)
        << "\">0</text>";
    if (top > 2)
    {
        out << "<text x=\"4\" y=\"" << top_margin + 9 << "\">" << format_number(top) << "</text>";
    }
    out << "<text x=\"" << left_margin << "\" y=\"" << height - 5 << "\">oldest</text><text x=\""
        << left_margin + plot_width << "\" y=\"" << height - 5
        << "\" text-anchor=\"end\">now</text></svg><figcaption>" << escape_html(caption)
        << "</figcaption></figure>\n";
}

bool has_events(json::array const& windows)
{
    return std::any_of(windows.begin(), windows.end(),
                       [](json::value const& window)
                       {
                           return window.at("good").to_number<std::uint64_t>() +
                                      window.at("bad").to_number<std::uint64_t>() >
                                  0;
                       });
}

void write_plots(std::ostringstream& out, json::object const& report, json::object const& row)
{
    json::array const& windows = report.at("windows_s").as_array();
    for (json::value const& target : report.at("goals").as_array())
    {
        std::string const name = member_text(target, "name");
        json::array const& measured = row.at("objectives").at(name).as_array();
        if (!has_events(measured))
        {
            continue;
        }
        out << "<div class=\"plots\">";
        for (std::size_t i = 0; i < windows.size() && i < measured.size(); ++i)
        {
            write_plot(out, name + ", " + window_name(windows[i].to_number<std::int64_t>()),
                       measured[i].at("slots").as_array());
        }
        out << "</div>\n";
    }
}

} // namespace

std::string error_budget_page(json::object const& reports)
{
    std::ostringstream out;
    out << page_head;
    for (auto const& [entry, value] : reports)
    {
        json::object const& report = value.as_object();
        out << "<h2>Entry VM " << escape_html(entry) << "</h2>\n";
        if (report.at("rows").as_array().empty())
        {
            out << "<p>No requests yet.</p>\n";
        }
        for (json::value const& one : report.at("rows").as_array())
        {
            json::object const& row = one.as_object();
            out << "<h3>" << escape_html(member_text(one, "service")) << " for "
                << escape_html(member_text(one, "customer")) << "</h3>\n";
            write_table(out, report, row);
            write_latency(out, row);
            write_plots(out, report, row);
        }
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace plumdale::plumctl
