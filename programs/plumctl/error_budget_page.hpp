#pragma once

#include <boost/json/fwd.hpp>

#include <string>

/// \file
/// \brief The burn report as a self-contained HTML page.

namespace plumdale::plumctl
{

/// \brief Returns HTML with inline SVG plots for `{"<entry>": <answer of GET /admin/burn>}`.
[[nodiscard]] std::string error_budget_page(boost::json::object const& reports);

} // namespace plumdale::plumctl
