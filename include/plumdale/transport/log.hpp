#pragma once

#include <string_view>

/// \file
/// \brief Logging with a fixed prefix for each part. Prompts, outputs and keys are never logged.

namespace plumdale::transport
{

enum class log_level : unsigned char
{
    debug,
    info,
    warning,
    error
};

enum class log_format : unsigned char
{
    text,
    json
};

/// \brief Sets the lowest level that is logged and the line format. Lines go to standard error.
void initialize_log(log_level threshold, log_format format);

/// \brief Writes one short sentence under a part's prefix, such as `callers` or `members`.
void log(log_level level, std::string_view part, std::string_view message);

} // namespace plumdale::transport
