#pragma once

#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/switch_answer.hpp>
#include <plumdale/state/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Bodies of the operators' calls; docs/PROTOCOLS.md shows their shapes.

namespace plumdale::protocol
{

/// \brief Data that a status page shows in addition to the snapshot.
struct node_status
{
    state::member self;
    std::string_view zone;
    std::uint32_t in_flight = 0;
};

/// \brief Returns `ready`, `draining` or `not_ready`.
[[nodiscard]] std::string_view readiness_name(coordination::fleet_snapshot const& fleet) noexcept;

/// \brief Returns the answer to `GET /admin/status`.
[[nodiscard]] std::string status_body(node_status const& node,
                                      coordination::fleet_snapshot const& fleet);

/// \brief Returns one preset as published; a model that no upstream serves is shown by its id.
[[nodiscard]] std::string preset_body(state::preset const& preset,
                                      coordination::fleet_snapshot const& fleet);

/// \brief An operator's request to switch presets, as sent.
struct switch_request
{
    state::preset_id preset;
    std::uint64_t over_revision = 0;
};

/// \brief Decodes `POST /admin/preset`. Fails with `invalid_request`.
[[nodiscard]] state::result<switch_request> decode_switch_request(std::string_view body);

/// \brief Returns the HTTP status of a switch's outcome.
[[nodiscard]] unsigned http_status_of(coordination::switch_outcome outcome) noexcept;

/// \brief Returns the answer to `POST /admin/preset`. The outcome is `accepted` or the name of an
/// error kind.
[[nodiscard]] std::string switch_body(coordination::switch_answer const& answer,
                                      coordination::fleet_snapshot const& fleet);

} // namespace plumdale::protocol
