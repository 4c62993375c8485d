#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief The subcommands of the stand-ins' program.

namespace plumdale::standins
{

/// \brief Arguments after the subcommand's name, with the program's name first.
using arguments = std::vector<std::string>;

int run_engine(arguments args);
int run_platform(arguments args);
int run_service(arguments args);
int run_relay(arguments args);
int run_check(arguments args);

/// \brief Prints `listening 127.0.0.1:<port>` and runs until SIGTERM or SIGINT.
int serve(boost::asio::io_context& io, std::uint16_t port);

} // namespace plumdale::standins
