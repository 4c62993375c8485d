#pragma once

#include <plumdale/coordination/candidate_spread.hpp>
#include <plumdale/coordination/upstream_speeds.hpp>
#include <plumdale/coordination/upstream_suspicions.hpp>
#include <plumdale/coordination/zone_reach.hpp>

#include <optional>

/// \file
/// \brief What the load parts know of upstreams, for their selection.

namespace plumdale::coordination
{

/// \brief Knowledge of the parts that are on; a part that is off has none, and selections are made
/// as without it.
struct selection_hints
{
    upstream_speeds const* speeds = nullptr;
    upstream_suspicions const* suspicions = nullptr;
    zone_reach const* zones = nullptr;
    /// \brief Choices of peers; with it all upstreams of a choice are compared.
    std::optional<concurrent_choices> choices;
};

} // namespace plumdale::coordination
