#pragma once

#include <plumdale/coordination/upstream_speeds.hpp>
#include <plumdale/coordination/upstream_suspicions.hpp>
#include <plumdale/coordination/zone_reach.hpp>

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
};

} // namespace plumdale::coordination
