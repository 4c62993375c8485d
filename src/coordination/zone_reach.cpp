#include <plumdale/coordination/zone_reach.hpp>

namespace plumdale::coordination
{

void zone_reach::connected(state::zone_id /*zone*/, state::time_point /*now*/) {}

void zone_reach::connection_failed(state::zone_id /*zone*/, state::member_key /*member*/,
                                   state::time_point /*now*/)
{
}

void zone_reach::apply_update(state::node_id /*peer*/, state::zone_id /*peer_zone*/,
                              std::span<zone_reach_row const> /*rows*/, state::time_point /*now*/)
{
}

bool zone_reach::is_cut(state::zone_id /*zone*/, state::time_point /*now*/) const
{
    return false;
}

std::vector<zone_reach_row> zone_reach::own_rows(state::time_point /*now*/) const
{
    return {};
}

} // namespace plumdale::coordination
