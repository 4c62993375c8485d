#pragma once

#include <plumdale/coordination/node_settings.hpp>
#include <plumdale/state/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The daemon's settings file.

namespace plumdale::protocol
{

/// \brief One error in a settings file.
struct settings_error
{
    std::string pointer; ///< JSON pointer to the place.
    std::string found;
    std::string allowed;
};

/// \brief Settings of `plumdaled`.
struct daemon_settings
{
    coordination::node_settings node;
    std::string zone;
    state::endpoint callers;  ///< Address to listen on for callers and operators.
    state::endpoint platform; ///< The platform's HTTP interface.
    std::string operator_key_sha256;
    std::uint32_t connection_limit = 10'000;
    std::uint32_t header_limit = 16 * 1024;
    std::uint32_t body_limit = 1024 * 1024;
    /// \brief Unsent bytes for one caller above which its upstream is not read.
    std::uint32_t caller_buffer = 16 * 1024;
    /// \brief How long a caller's connection may be idle between requests.
    state::duration idle_timeout = std::chrono::seconds{60};
    /// \brief How long a request's head, and its body, may take to arrive.
    state::duration request_timeout = std::chrono::seconds{10};
    /// \brief After a drain: time for the last answers to leave the buffers.
    state::duration drain_linger = std::chrono::milliseconds{200};
    /// \brief Strategy that decides where requests run: `projected_memory` or `least_in_flight`.
    std::string policy = "projected_memory";
    std::string log_level = "info";
    std::string log_format = "text";
};

/// \brief Decodes and checks a settings file as a whole; returns every error in `errors`.
/// The settings are valid when `errors` is empty.
[[nodiscard]] daemon_settings decode_settings(std::string_view text,
                                              std::vector<settings_error>& errors);

} // namespace plumdale::protocol
