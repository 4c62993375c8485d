#pragma once

#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which upstreams are asked whether they leave, while the platform can't tell.

namespace plumdale::coordination
{

/// \brief Chooses the upstreams whose own reports stand in for the platform's notices.
///
/// Of the entry VMs with generations at an upstream one asks, and tells the others. Example:
/// \code
/// report_watch watch{self};
/// for (state::member_key const member : watch.due(ledger, platform_age, now)) { ask(member); }
/// \endcode
class report_watch
{
public:
    explicit report_watch(state::node_id self) noexcept : self_{self} {}

    /// \brief Returns the upstreams to ask now; none while the platform is heard.
    [[nodiscard]] std::vector<state::member_key>
    due(load_ledger const& ledger, state::duration platform_age, state::time_point now);

    /// \brief Age of the fleet's newest read of the platform above which notices are missed: a calm
    /// watch answers after 0.6 s and is passed on within 0.35 s.
    static constexpr state::duration stale = std::chrono::seconds{1};
    /// \brief Time between two reports of one upstream. A notice is 1.5 to 2 s long, a report tells
    /// of 0.5 s ago, and a first copy takes 0.2 to 0.4 s.
    static constexpr state::duration interval = std::chrono::milliseconds{450};
    /// \brief Most reports that this VM asks for in one interval: 16 KB/s at some 600 bytes each,
    /// within the 22 KB/s that a VM may spend on control, while the platform sends nothing.
    static constexpr std::size_t most_asked = 12;

private:
    [[nodiscard]] bool is_first_holder(load_ledger const& ledger, state::member_key member) const;

    state::node_id self_;
    std::unordered_map<state::member_key, state::time_point> asked_;
};

} // namespace plumdale::coordination
