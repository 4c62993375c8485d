#include <plumdale/coordination/upstream_suspicions.hpp>

namespace plumdale::coordination
{

void upstream_suspicions::note(state::member_key /*member*/, suspicion_kind /*kind*/,
                               state::time_point /*now*/)
{
}

void upstream_suspicions::apply_update(state::node_id /*peer*/, state::zone_id /*zone*/,
                                       std::span<suspicion_row const> /*rows*/,
                                       state::time_point /*now*/)
{
}

bool upstream_suspicions::is_suspected(state::member_key /*member*/,
                                       state::time_point /*now*/) const
{
    return false;
}

std::vector<suspicion_row> upstream_suspicions::unreported(state::time_point /*now*/)
{
    return {};
}

void upstream_suspicions::sweep(state::time_point /*now*/) {}

} // namespace plumdale::coordination
