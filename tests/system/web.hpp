#pragma once

#include "process.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief HTTP client of the tests, for stand-ins and entry VMs.

namespace plumdale::system_tests
{

/// \brief Status zero: the connection failed, ended early or was silent for too long.
struct answer
{
    unsigned status = 0;
    std::string body;
};

[[nodiscard]] answer request(std::string const& address, std::string const& method,
                             std::string const& target, std::string const& body,
                             std::chrono::milliseconds idle = default_timeout,
                             std::vector<std::pair<std::string, std::string>> headers = {});

/// \brief Returns the object in the response to a GET; throws if the status is not 200.
[[nodiscard]] boost::json::object get(std::string const& address, std::string const& target);

/// \brief Commands a stand-in; returns the number of connections that a relay has open, else zero.
std::int64_t control(std::string const& address, boost::json::object const& wanted);

} // namespace plumdale::system_tests
