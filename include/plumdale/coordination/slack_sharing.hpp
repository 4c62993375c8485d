#pragma once

#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <vector>

/// \file
/// \brief Among how many entry VMs an allowance of the whole fleet is divided.

namespace plumdale::coordination
{

/// \brief Decides whether this VM has a part of an allowance that all VMs share, without messages.
///
/// A VM that has just started has none: its former process may have spent the part in the current
/// window, and its peers are not known yet. Example:
/// \code
/// slack_sharing sharing{fleet, self, seeds, started, 10s};
/// if (std::size_t const sharers = sharing.sharers(now)) { /* spend 1 / sharers */ }
/// \endcode
class slack_sharing
{
public:
    /// \brief `seeds`: VMs that all others contact first; `window`: for how long spending counts.
    slack_sharing(fleet_view const& fleet, state::node_id self, std::vector<state::node_id> seeds,
                  state::time_point started, state::duration window);

    /// \brief Returns how many VMs have an equal part, this one included; 0 while it has none.
    [[nodiscard]] std::size_t sharers(state::time_point now);

    /// \brief Added to the window: peers that are cut off from this VM may spend for as long before
    /// the cut is known, and a peer may be discovered this late.
    static constexpr state::duration settling_time = std::chrono::seconds{2};

private:
    [[nodiscard]] bool has_settled(state::time_point now) const;
    [[nodiscard]] bool reaches_most_seeds(state::time_point now) const;

    fleet_view const& fleet_;
    state::node_id self_;
    std::vector<state::node_id> seeds_;
    state::time_point eligible_from_;
    bool has_part_ = false;
};

} // namespace plumdale::coordination
