#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/preset_stamp.hpp>

#include <cstdint>
#include <vector>

/// \file
/// \brief The answer to an operator's switch of the preset.

namespace plumdale::coordination
{

/// \brief How an operator's switch ended.
enum class switch_outcome : std::uint8_t
{
    accepted,       ///< Held by enough other entry VMs.
    not_accepted,   ///< Held by too few VMs in time. It stays in force here and may still spread.
    superseded,     ///< A later switch replaced it everywhere; `stamp` is the later one.
    unknown_preset, ///< Not published, or its content is not held here. Nothing changed.
    not_allowed,    ///< The key belongs to no operator. Nothing changed.
    not_ready       ///< This entry VM has not caught up with its peers. Nothing changed.
};

/// \brief The answer to an operator's switch.
struct switch_answer
{
    switch_outcome outcome = switch_outcome::not_ready;
    /// \brief The stamp in force here.
    state::preset_stamp stamp;
    /// \brief Other entry VMs known to hold it or a later one.
    std::vector<state::node_id> holders;
    /// \brief Zones that have members but no known holder.
    std::vector<state::zone_id> zones_missing;
};

} // namespace plumdale::coordination
