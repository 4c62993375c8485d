#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief The bounds that operators change as one value.

namespace plumdale::state
{

/// \brief What an engine is asked to serve.
enum class engine_role : std::uint8_t
{
    mixed,
    drafts,
    questions,
    idle
};

/// \brief The percentage of a model's engines that take a role, and the version they load.
struct engine_assignment
{
    model_id model;
    engine_role role = engine_role::mixed;
    std::uint32_t percent = 100;
    std::string version;
    std::string adapter;
};

/// \brief One preset: the bounds in force together.
struct preset
{
    std::string name;
    /// \brief Greatest chance that an engine's memory overflows within the horizon.
    double overflow_chance = 0.005;
    /// \brief How far ahead occupancy is projected.
    duration horizon = std::chrono::seconds{20};
    /// \brief Share of an engine's memory kept free of drafts, 0 to 1.
    double question_headroom = 0.05;
    /// \brief Most sequences decoding at once on an engine.
    std::uint32_t max_batch = 48;
    /// \brief How long a draft may wait at the entry VM for capacity before it is refused.
    duration draft_wait = std::chrono::seconds{2};
    /// \brief Retries allowed for each 100 first attempts.
    std::uint32_t retry_percent = 10;
    /// \brief Mean retry time in refusals; each varies by a factor of 0.5 to 1.5.
    duration retry_after = std::chrono::seconds{2};
    std::vector<engine_assignment> assignments;
};

} // namespace plumdale::state
