#pragma once

#include <plumdale/state/preset.hpp>

#include <cstdint>
#include <string>

/// \file
/// \brief The role and version that an engine is ordered to take.

namespace plumdale::state
{

/// \brief An order to one engine; every node derives the same one from the same stamp and engines.
struct engine_order
{
    /// \brief Fencing number, greater for a later preset stamp; an engine that checks it rejects a
    /// smaller one.
    std::uint64_t fence = 0;
    engine_role role = engine_role::mixed;
    std::string version;
    std::string adapter;

    friend bool operator==(engine_order const&, engine_order const&) noexcept = default;
};

} // namespace plumdale::state
