#include "commands.hpp"

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
    static_cast<void>(protocol::decode_settings(text, errors));
    print_errors(file.getValue(), errors, as_json.getValue());
    return errors.empty() ? 0 : state::answer_for(state::error_kind::settings_invalid).exit_code;
}

} // namespace plumdale::plumctl
