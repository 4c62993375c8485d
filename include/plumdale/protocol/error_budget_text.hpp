#pragma once

#include <plumdale/coordination/error_budget_tracker.hpp>

#include <functional>
#include <string>

/// \file
/// \brief The error budget report as JSON and as metrics.

namespace plumdale::protocol
{

/// \brief Functions that return the names shown for the report's identifiers.
struct error_budget_names
{
    std::function<std::string(state::model_id)> service;
    std::function<std::string(state::customer_id)> customer;
};

/// \brief Returns the answer to `GET /admin/burn`; docs/PROTOCOLS.md shows its shape.
[[nodiscard]] std::string error_budget_json(coordination::error_budget_report const& report,
                                            coordination::error_budget_settings const& settings,
                                            error_budget_names const& names);

/// \brief Returns the report's lines for `GET /metrics`: burn rates and quantiles.
[[nodiscard]] std::string error_budget_metrics(coordination::error_budget_report const& report,
                                               coordination::error_budget_settings const& settings,
                                               error_budget_names const& names);

} // namespace plumdale::protocol
