#pragma once

#include "forward_fixture.hpp"

#include <memory>
#include <string_view>

/// \file
/// \brief A draft in the middle of its stream, and what its upstreams announce.

namespace plumdale::test
{

/// \brief Fields of a call for a long draft.
inline constexpr std::string_view draft_fields =
    "Plumdale-Token-Usage: 3000,1800\r\nPlumdale-Length-Hint: 900\r\n"
    "Plumdale-Request-Deadline-Ms: 39000\r\n";

/// \brief The draft `id-1`, which runs at an upstream and has produced three events.
struct running_draft
{
    explicit running_draft(forward_fixture& fixture);

    /// \brief Returns whether its caller has received an event.
    [[nodiscard]] bool has_event(int id) const;

    std::shared_ptr<scripted_caller> caller;
    scripted_upstream* source;
    /// \brief The connection on which the upstream sends its events.
    std::shared_ptr<scripted_connection> stream;
};

/// \brief Returns the upstream that keeps the draft's backup; null when it has none.
[[nodiscard]] scripted_upstream* backup_engine_of(forward_fixture& fixture,
                                                  running_draft const& draft);
/// \brief Fills the engines so far that drafts get no backup, as under high load.
void fill_engines(forward_fixture& fixture);
void announce_departure(forward_fixture& fixture, scripted_upstream const& upstream);

/// \brief Start of the first upstream; the others started a millisecond after each other.
inline constexpr std::uint64_t first_incarnation = 1'784'177'000'000;
/// \brief A start after those of all upstreams.
inline constexpr state::incarnation later_incarnation{first_incarnation + 60'000};
/// \brief Lists all upstreams with their starts, as the platform does before a draft begins.
void announce_incarnations(forward_fixture& fixture);
/// \brief Lists a later start of an engine, as its own entry or another writer's does.
void list_later_start(forward_fixture& fixture, scripted_upstream const& upstream);
/// \brief Has an engine state its later start, once it is asked.
void state_later_start(forward_fixture& fixture, scripted_upstream& upstream);
/// \brief Lists a later start of an engine, which states it too when it is asked.
void restart(forward_fixture& fixture, scripted_upstream& upstream);

} // namespace plumdale::test
