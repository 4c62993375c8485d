#pragma once

#include <plumdale/state/result.hpp>

#include <string>
#include <vector>

/// \file
/// \brief plumctl's commands and their shared functions.

namespace plumdale::plumctl
{

/// \brief Arguments after the command's name, with the program's name first.
using arguments = std::vector<std::string>;

inline constexpr char const* program_version = "0.1.0";

int run_check(arguments args);
int run_status(arguments args);
int run_preset(arguments args);
int run_generate(arguments args);
int run_drain(arguments args);
int run_report(arguments args);
int run_forward(arguments args);

/// \brief Prints a failure as text or JSON and returns its exit code.
int report_failure(state::failure const& failed, bool json);

/// \brief Returns a key: the first line of the file, if one is named, else the environment
/// variable, else an empty string.
[[nodiscard]] std::string read_key(std::string const& file, char const* variable);

/// \brief Prints rows as columns; the first row is the heading.
void print_table(std::vector<std::vector<std::string>> const& rows);

} // namespace plumdale::plumctl
