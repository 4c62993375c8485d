#include "commands.hpp"

#include <plumdale/protocol/forward_settings.hpp>
#include <plumdale/protocol/settings.hpp>

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

void print_errors(std::string const& file, std::vector<protocol::settings_error> const& errors,
                  bool as_json)
{
    json::array all;
    for (protocol::settings_error const& error : errors)
    {
        if (as_json)
        {
            all.push_back(json::object{{"file", file},
                                       {"pointer", error.pointer},
                                       {"found", error.found},
                                       {"allowed", error.allowed}});
            continue;
        }
        std::cout << file << ": " << error.pointer << ": found " << error.found
                  << "; allowed: " << error.allowed << '\n';
    }
    if (as_json)
    {
        std::cout << json::serialize(json::object{{"errors", all}}) << std::endl;
    }
}

json::array part_rows(coordination::load_part_settings const& parts)
{
    json::array rows;
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        auto const part = static_cast<coordination::load_part>(i);
        rows.push_back(json::object{{"name", coordination::load_part_names[i]},
                                    {"allowed", parts[i]},
                                    {"on_where", coordination::load_parts::condition(part)}});
    }
    return rows;
}

// The configuration in force, which decides whether an allowed part is on, is not in the file.
void print_parts(coordination::load_part_settings const& parts, bool as_json)
{
    if (as_json)
    {
        std::cout << json::serialize(json::object{{"parts", part_rows(parts)}}) << std::endl;
        return;
    }
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        std::cout << coordination::load_part_names[i] << ": " << (parts[i] ? "on where " : "off")
                  << (parts[i] ? coordination::load_parts::condition(
                                     static_cast<coordination::load_part>(i))
                               : std::string_view{})
                  << '\n';
    }
}

void check_forward_settings(std::string const& text, bool as_json,
                            std::vector<protocol::settings_error>& errors)
{
    protocol::forward_settings const settings = protocol::decode_forward_settings(text, errors);
    if (errors.empty())
    {
        print_parts(settings.parts, as_json);
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
    std::vector<protocol::settings_error> errors;
    if (protocol::is_forward_settings(text))
    {
        check_forward_settings(text, as_json.getValue(), errors);
    }
    else
    {
        static_cast<void>(protocol::decode_settings(text, errors));
    }
    print_errors(file.getValue(), errors, as_json.getValue());
    return errors.empty() ? 0 : state::answer_for(state::error_kind::settings_invalid).exit_code;
}

} // namespace plumdale::plumctl
