#pragma once

#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/identifier.hpp>

#include <cstdint>
#include <string>

/// \file
/// \brief An engine or a plain service.

namespace plumdale::state
{

enum class upstream_kind : std::uint8_t
{
    engine, ///< Generates tokens for a model.
    service ///< Answers plain calls.
};

/// \brief An upstream as the platform lists it.
struct upstream
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    zone_id zone;
    /// \brief Model that an engine serves, or the service's name.
    model_id model;
    std::string model_name;
    endpoint address;
    /// \brief Incarnation of the upstream; a leaving mark applies to this incarnation only.
    incarnation incarnation_number;
    bool leaving = false;
    /// \brief Whether the engine rejects an order with an old fencing number.
    bool fences_orders = true;
    std::string name;
};

} // namespace plumdale::state
