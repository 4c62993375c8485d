#include "commands.hpp"

#include <boost/asio/signal_set.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

namespace plumdale::standins
{

int serve(boost::asio::io_context& io, std::uint16_t port)
{
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    io.run();
    return 0;
}

} // namespace plumdale::standins

namespace
{

struct command
{
    std::string_view name;
    int (*run)(plumdale::standins::arguments args);
    std::string_view brief;
};

constexpr std::array commands{
    command{"engine", &plumdale::standins::run_engine, "a model engine"},
    command{"platform", &plumdale::standins::run_platform, "configuration, VM list, weights"},
    command{"service", &plumdale::standins::run_service, "a plain service"},
    command{"relay", &plumdale::standins::run_relay, "a TCP relay that fails on command"},
    command{"check", &plumdale::standins::run_check, "check an answer that a caller received"},
};

int usage()
{
    std::cerr << "usage: plumdale-standins COMMAND [--help]\n";
    for (command const& known : commands)
    {
        std::cerr << "  " << known.name << "  " << known.brief << '\n';
    }
    return 2;
}

} // namespace

int main(int count, char** words)
{
    plumdale::standins::arguments args{words, words + count};
    if (args.size() < 2)
    {
        return usage();
    }
    for (command const& known : commands)
    {
        if (known.name == args[1])
        {
            args[0] += " " + args[1];
            args.erase(args.begin() + 1);
            return known.run(args);
        }
    }
    return usage();
}
