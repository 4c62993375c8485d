#pragma once

#include <string_view>

/// \file
/// \brief A configuration whose callers leave a silent stream after two seconds.

namespace plumdale::test
{

/// \brief A configuration in which a stream's objective is short.
inline constexpr std::string_view short_objective =
    R"({"version":4,"routes":[{"name":"draft","host":"a.example","prefix":"/draft/",)"
    R"("routeType":"streaming","timeoutMs":39000,"targetLatencyMs":100,"maxAttempts":1,)"
    R"("service":"engine"}],"services":[{"name":"engine"}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000},"tenants":[{"name":"customer","apiKeys":["key"]}]})";

} // namespace plumdale::test
