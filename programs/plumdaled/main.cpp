#include "platform/platform_dialect.hpp"

#include <plumdale/coordination/least_in_flight.hpp>
#include <plumdale/coordination/projected_memory_policy.hpp>
#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/forward_settings.hpp>
#include <plumdale/protocol/settings.hpp>
#include <plumdale/state/error_kind.hpp>
#include <plumdale/transport/daemon.hpp>
#include <plumdale/transport/forwarder.hpp>
#include <plumdale/transport/log.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace plumdale;

/// \brief Options from the command line.
struct options
{
    std::string file;
    std::string log_level;
    bool check = false;
};

options read_options(int argc, char** argv)
{
    TCLAP::CmdLine line{"One entry VM of plumdale.", ' ', "0.1.0"};
    TCLAP::ValueArg<std::string> const file{"c",    "config", "Settings file (JSON).", true, "",
                                            "FILE", line};
    TCLAP::ValueArg<std::string> const level{
        "l", "log-level", "debug, info, warning or error.", false, "", "LEVEL", line};
    TCLAP::SwitchArg const check{"", "check", "Check the settings and stop.", line};
    line.parse(argc, argv);
    return {file.getValue(), level.getValue(), check.getValue()};
}

int exit_code(state::error_kind kind)
{
    return state::answer_for(kind).exit_code;
}

std::optional<std::string> read_file(std::string const& name)
{
    std::ifstream file{name};
    if (!file)
    {
        std::cerr << "plumdaled: " << name << ": can't be read\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

void print_errors(std::string const& file, std::vector<protocol::settings_error> const& errors)
{
    for (protocol::settings_error const& error : errors)
    {
        std::cerr << "plumdaled: " << file << ": " << error.pointer << ": found " << error.found
                  << "; allowed: " << error.allowed << '\n';
    }
}

std::optional<protocol::daemon_settings> parse_daemon_settings(options const& command_line,
                                                               std::string_view text)
{
    std::vector<protocol::settings_error> errors;
    protocol::daemon_settings settings = protocol::decode_settings(text, errors);
    print_errors(command_line.file, errors);
    if (!errors.empty())
    {
        return std::nullopt;
    }
    if (!command_line.log_level.empty())
    {
        settings.log_level = command_line.log_level;
    }
    return settings;
}

std::optional<protocol::forward_settings> parse_forward_settings(options const& command_line,
                                                                 std::string_view text)
{
    std::vector<protocol::settings_error> errors;
    protocol::forward_settings settings = protocol::decode_forward_settings(text, errors);
    print_errors(command_line.file, errors);
    return errors.empty() ? std::optional{std::move(settings)} : std::nullopt;
}

int invalid_settings_code()
{
    return state::answer_for(state::error_kind::settings_invalid).exit_code;
}

struct level_row
{
    std::string_view name;
    transport::log_level level;
};

constexpr std::array<level_row, 4> levels{{{"debug", transport::log_level::debug},
                                           {"info", transport::log_level::info},
                                           {"warning", transport::log_level::warning},
                                           {"error", transport::log_level::error}}};

transport::log_level const* find_level(std::string_view name)
{
    auto const found = std::find_if(levels.begin(), levels.end(),
                                    [name](level_row const& row) { return row.name == name; });
    return found == levels.end() ? nullptr : &found->level;
}

using coordination::node_settings;
using coordination::policy_factory;

policy_factory projected_memory(node_settings const& node)
{
    std::random_device device;
    return coordination::projected_memory_factory({node.self.id, node.self.zone, node.shards},
                                                  device());
}

policy_factory least_in_flight(node_settings const& /*node*/)
{
    return [](std::uint32_t /*shard*/)
    {
        return std::make_unique<coordination::least_in_flight>();
    };
}

struct policy_row
{
    std::string_view name;
    policy_factory (*make)(node_settings const&);
};

constexpr std::array<policy_row, 2> policies{
    {{"projected_memory", &projected_memory}, {"least_in_flight", &least_in_flight}}};

transport::policy_selector policy_from_name(std::string_view name)
{
    return std::find_if(policies.begin(), policies.end(),
                        [name](policy_row const& row) { return row.name == name; })
        ->make;
}

void print_endpoints(protocol::daemon_settings const& settings)
{
    std::cout << "datagrams " << protocol::to_text(settings.node.self.datagrams) << '\n'
              << "streams " << protocol::to_text(settings.node.self.streams) << '\n'
              << "listening " << protocol::to_text(settings.callers) << std::endl;
}

// Serves as one incarnation after another: a new one begins when peers know a later incarnation
// than that of this process, for example after the clock was set back.
int serve(protocol::daemon_settings settings)
{
    transport::initialize_log(*find_level(settings.log_level), settings.log_format == "json"
                                                                   ? transport::log_format::json
                                                                   : transport::log_format::text);
    state::incarnation incarnation_floor;
    for (;;)
    {
        transport::daemon daemon{settings, policy_from_name(settings.policy), incarnation_floor};
        if (auto const opened = daemon.open(); !opened)
        {
            std::cerr << "plumdaled: " << opened.error().detail << '\n';
            return exit_code(opened.error().kind);
        }
        settings = daemon.settings();
        print_endpoints(settings);
        transport::daemon_outcome const end = daemon.run();
        if (!end.replaced_by)
        {
            return end.in_flight == 0 ? 0 : exit_code(state::error_kind::interrupted);
        }
        incarnation_floor = *end.replaced_by;
    }
}

// Forwards calls in the dialect of the users' platform.
int forward(options const& command_line, std::string const& text)
{
    auto settings = parse_forward_settings(command_line, text);
    if (!settings)
    {
        return invalid_settings_code();
    }
    if (command_line.check)
    {
        return 0;
    }
    auto const reload_settings = [&command_line]() -> std::optional<protocol::forward_settings>
    {
        auto const again = read_file(command_line.file);
        return again ? parse_forward_settings(command_line, *again) : std::nullopt;
    };
    platform::platform_dialect const dialect;
    transport::forwarder forwarder{std::move(*settings), dialect, reload_settings};
    if (auto const opened = forwarder.open(); !opened)
    {
        std::cerr << "plumdaled: " << opened.error().detail << '\n';
        return exit_code(opened.error().kind);
    }
    return forwarder.run() == 0 ? 0 : exit_code(state::error_kind::interrupted);
}

} // namespace

int main(int argc, char** argv)
{
    options const command_line = read_options(argc, argv);
    if (!command_line.log_level.empty() && find_level(command_line.log_level) == nullptr)
    {
        std::cerr << "plumdaled: --log-level: found " << command_line.log_level
                  << "; allowed: debug, info, warning, error\n";
        return invalid_settings_code();
    }
    auto const text = read_file(command_line.file);
    if (!text)
    {
        return invalid_settings_code();
    }
    if (protocol::is_forward_settings(*text))
    {
        return forward(command_line, *text);
    }
    auto const settings = parse_daemon_settings(command_line, *text);
    if (!settings)
    {
        return invalid_settings_code();
    }
    return command_line.check ? 0 : serve(*settings);
}
