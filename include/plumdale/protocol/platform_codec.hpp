#pragma once

#include <plumdale/coordination/control_events.hpp>
#include <plumdale/state/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The platform's configuration and list of VMs.

namespace plumdale::protocol
{

/// \brief What changed in the configuration since the last read.
struct configuration_changes
{
    std::uint64_t revision = 0;
    std::vector<coordination::control_event> events;
};

/// \brief Decodes `GET /v1/config?after=…`. A malformed entry fails the whole read, so
/// that a partial configuration never takes effect; fails with `invalid_request`.
[[nodiscard]] state::result<configuration_changes> decode_configuration(std::string_view body);

/// \brief Decodes one value, as received from the service or from a peer: `text` is the
/// value's JSON, `key` one of `switch`, `customers`, `operators`, `presets/<name>`. Returns no
/// event for a key that is none of these; fails with `invalid_request`.
[[nodiscard]] state::result<std::vector<coordination::control_event>>
decode_content(std::string_view key, std::uint64_t revision, std::string text);

/// \brief Decodes `GET /v1/vms`. Fails with `invalid_request`.
[[nodiscard]] state::result<coordination::vm_list_read> decode_vm_list(std::string_view body);

} // namespace plumdale::protocol
