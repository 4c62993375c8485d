#pragma once

#include "commands.hpp"
#include "http_client.hpp"

#include <boost/json/fwd.hpp>
#include <tclap/CmdLine.h>

#include <string>
#include <vector>

/// \file
/// \brief Options and requests shared by the operators' commands.

namespace plumdale::plumctl
{

/// \brief The options of every operators' command.
struct admin_options
{
    explicit admin_options(TCLAP::CmdLine& line);

    TCLAP::MultiArg<std::string> entries;
    TCLAP::ValueArg<std::string> key_file;
    TCLAP::ValueArg<int> idle_timeout;
    TCLAP::SwitchArg json;
};

/// \brief Returns the answer of one entry VM; a status other than 200 is an answer as well.
[[nodiscard]] state::result<http_answer> send_request(admin_options const& options,
                                                      std::string const& entry, http_call call);

/// \brief Returns the answer of the first entry VM that can be reached.
[[nodiscard]] state::result<http_answer> send_to_any_entry(admin_options const& options,
                                                           http_call const& call);

/// \brief Returns a member as text: a string as it is, anything else as JSON, `-` when missing.
[[nodiscard]] std::string member_text(boost::json::value const& from, char const* name);

/// \brief Parses a body; returns a null value when it is malformed.
[[nodiscard]] boost::json::value parse_body(std::string const& body);

/// \brief Returns `<revision>.<count> <preset>` for a stamp.
[[nodiscard]] std::string stamp_text(boost::json::value const& stamp);

} // namespace plumdale::plumctl
