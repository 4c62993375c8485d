#include <plumdale/coordination/upstream_speeds.hpp>

namespace plumdale::coordination
{

void upstream_speeds::note_first_event(state::member_key /*member*/, double /*ratio*/,
                                       state::time_point /*now*/)
{
}

void upstream_speeds::note_pace(state::member_key /*member*/, double /*ratio*/,
                                state::time_point /*now*/)
{
}

speed_factors upstream_speeds::factors(state::member_key /*member*/,
                                       state::time_point /*now*/) const
{
    return {};
}

std::vector<speed_row> upstream_speeds::own_rows(std::size_t /*max_count*/,
                                                 state::time_point /*now*/) const
{
    return {};
}

void upstream_speeds::apply_update(state::node_id /*peer*/, std::span<speed_row const> /*rows*/,
                                   state::time_point /*now*/)
{
}

void upstream_speeds::sweep(state::time_point /*now*/) {}

} // namespace plumdale::coordination
