#include "commands.hpp"

#include <plumdale/protocol/forward_settings.hpp>
#include <plumdale/protocol/settings.hpp>

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string_view>
#include <vector>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

/// \brief What the check of a file found.
struct check_report
{
    std::vector<protocol::settings_error> errors;
    /// \brief Load parts that the settings of a forwarding VM allow; none for other files.
    std::optional<coordination::load_part_settings> parts;
};

check_report check_text(std::string const& text)
{
    check_report report;
    if (protocol::is_forward_settings(text))
    {
        report.parts = protocol::decode_forward_settings(text, report.errors).parts;
    }
    else
    {
        static_cast<void>(protocol::decode_settings(text, report.errors));
    }
    return report;
}

json::array error_rows(std::string const& file, std::vector<protocol::settings_error> const& errors)
{
    json::array rows;
    for (protocol::settings_error const& error : errors)
    {
        rows.push_back(json::object{{"file", file},
                                    {"pointer", error.pointer},
                                    {"found", error.found},
                                    {"allowed", error.allowed}});
    }
    return rows;
}

std::string_view condition_of(std::size_t part)
{
    return coordination::load_parts::condition(static_cast<coordination::load_part>(part));
}

json::array part_rows(coordination::load_part_settings const& parts)
{
    json::array rows;
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        rows.push_back(json::object{{"name", coordination::load_part_names[i]},
                                    {"allowed", parts[i]},
                                    {"on_where", condition_of(i)}});
    }
    return rows;
}

void print_json(std::string const& file, check_report const& report)
{
    json::object all{{"errors", error_rows(file, report.errors)}};
    if (report.parts)
    {
        all["parts"] = part_rows(*report.parts);
    }
    std::cout << json::serialize(all) << std::endl;
}

// The configuration in force, which decides whether an allowed part is on, is not in the file.
void print_parts(coordination::load_part_settings const& parts)
{
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        std::cout << coordination::load_part_names[i] << ": " << (parts[i] ? "on where " : "off")
                  << (parts[i] ? condition_of(i) : std::string_view{}) << '\n';
    }
}

void print_text(std::string const& file, check_report const& report)
{
    for (protocol::settings_error const& error : report.errors)
    {
        std::cout << file << ": " << error.pointer << ": found " << error.found
                  << "; allowed: " << error.allowed << '\n';
    }
    if (report.parts)
    {
        print_parts(*report.parts);
    }
}

} // namespace

int run_check(arguments args)
{
    TCLAP::CmdLine line{"Checks a settings file as plumdaled would.", ' ', program_version};
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> file{"file", "settings (JSON)", true, "", "FILE", line};
    TCLAP::SwitchArg as_json{"", "json", "print JSON", line};
    line.parse(args);
    std::ifstream in{file.getValue()};
    if (!in)
    {
        return report_failure(
            {state::error_kind::settings_invalid, file.getValue() + " can't be read"},
            as_json.getValue());
    }
    std::string const text{std::istreambuf_iterator<char>{in}, {}};
    check_report const report = check_text(text);
    as_json.getValue() ? print_json(file.getValue(), report) : print_text(file.getValue(), report);
    return report.errors.empty() ? 0
                                 : state::answer_for(state::error_kind::settings_invalid).exit_code;
}

} // namespace plumdale::plumctl
