#include "commands.hpp"

#include <boost/json.hpp>
#include <tclap/ArgException.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string_view>

namespace plumdale::plumctl
{

int report_failure(state::failure const& failed, bool json)
{
    state::error_answer const& row = state::answer_for(failed.kind);
    if (json)
    {
        std::cout << boost::json::object{{"error",
                                          boost::json::object{{"kind", row.name},
                                                              {"claim", claim_name(row.claim)},
                                                              {"message", row.message},
                                                              {"detail", failed.detail}}}}
                  << std::endl;
    }
    else
    {
        std::cerr << "plumctl: " << row.message;
        if (!failed.detail.empty())
        {
            std::cerr << " (" << failed.detail << ')';
        }
        std::cerr << '\n';
    }
    return row.exit_code;
}

std::string read_key(std::string const& file, char const* variable)
{
    std::string key;
    if (!file.empty())
    {
        std::ifstream in{file};
        std::getline(in, key);
        return key;
    }
    char const* const value = std::getenv(variable);
    return value == nullptr ? std::string{} : std::string{value};
}

void print_table(std::vector<std::vector<std::string>> const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (auto const& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

} // namespace plumdale::plumctl

namespace
{

using namespace plumdale;

struct command
{
    std::string_view name;
    int (*run)(plumctl::arguments args);
    std::string_view brief;
};

constexpr std::array commands{
    command{"check", &plumctl::run_check, "check a settings file"},
    command{"status", &plumctl::run_status, "members, preset in force, upstreams, load"},
    command{"preset", &plumctl::run_preset, "list, show or switch presets"},
    command{"generate", &plumctl::run_generate, "run a generation, or attach to one"},
    command{"drain", &plumctl::run_drain, "shut one entry VM down gracefully"},
    command{"forward", &plumctl::run_forward,
            "forwarding entry VMs: status, routes, upstreams, burn"},
    command{"report", &plumctl::run_report, "report burn: use of the error budgets"},
};

int usage(std::ostream& out, int code)
{
    out << "usage: plumctl COMMAND [options]    (plumctl COMMAND --help shows its options)\n";
    for (command const& known : commands)
    {
        out << "  " << known.name << std::string(10 - known.name.size(), ' ') << known.brief
            << '\n';
    }
    return code;
}

int run(command const& chosen, plumctl::arguments args)
{
    try
    {
        return chosen.run(std::move(args));
    }
    catch (TCLAP::ExitException const& done)
    {
        return done.getExitStatus();
    }
    catch (TCLAP::ArgException const& wrong)
    {
        return plumctl::report_failure(
            {state::error_kind::invalid_request, wrong.error() + " " + wrong.argId()}, false);
    }
}

} // namespace

int main(int argc, char** argv)
{
    plumctl::arguments args{argv, argv + argc};
    int const wrong_usage = state::answer_for(state::error_kind::invalid_request).exit_code;
    if (args.size() < 2)
    {
        return usage(std::cerr, wrong_usage);
    }
    std::string const name = args[1];
    if (name == "--help" || name == "-h")
    {
        return usage(std::cout, 0);
    }
    for (command const& known : commands)
    {
        if (known.name == name)
        {
            args[0] = "plumctl " + name;
            args.erase(args.begin() + 1);
            return run(known, std::move(args));
        }
    }
    return usage(std::cerr, wrong_usage);
}
