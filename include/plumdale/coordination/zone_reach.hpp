#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>
#include <vector>

/// \file
/// \brief Which zones' upstreams this entry VM reaches.

namespace plumdale::coordination
{

/// \brief Whether a peer reaches a zone, as its peers receive it.
struct zone_reach_row
{
    state::zone_id zone;
    bool is_reached = true;
    state::duration age{};
};

/// \brief Concludes from connections into each zone whether the zone is cut off.
class zone_reach
{
public:
    explicit zone_reach(state::zone_id own_zone) noexcept : own_zone_{own_zone} {}

    /// \brief Records that an upstream of a zone was reached or answered.
    void connected(state::zone_id zone, state::time_point now);
    /// \brief Records that an upstream of a zone could not be connected to.
    void connection_failed(state::zone_id zone, state::member_key member, state::time_point now);
    /// \brief Applies what a peer of the own zone says.
    void apply_update(state::node_id peer, state::zone_id peer_zone,
                      std::span<zone_reach_row const> rows, state::time_point now);
    /// \brief Returns whether a zone's upstreams get no first attempts for now.
    [[nodiscard]] bool is_cut(state::zone_id zone, state::time_point now) const;
    /// \brief Returns the zones that this VM found cut or reached again, for peers.
    [[nodiscard]] std::vector<zone_reach_row> own_rows(state::time_point now) const;

private:
    state::zone_id own_zone_;
};

} // namespace plumdale::coordination
