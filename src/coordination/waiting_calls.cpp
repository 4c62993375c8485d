#include <plumdale/coordination/waiting_calls.hpp>

namespace plumdale::coordination
{

bool waiting_calls::push(waiting_call /*call*/, state::time_point /*now*/)
{
    return true;
}

void waiting_calls::remove(std::uint64_t /*id*/) {}

std::vector<std::uint64_t> waiting_calls::next(state::service_key /*service*/,
                                               std::size_t /*count*/, state::time_point /*now*/)
{
    return {};
}

bool waiting_calls::goes_after_others(state::service_key /*service*/, std::uint32_t /*rank*/,
                                      state::time_point /*now*/) const
{
    return false;
}

std::vector<waiting_row> waiting_calls::own_rows(state::time_point /*now*/) const
{
    return {};
}

void waiting_calls::apply_update(state::node_id /*peer*/, std::span<waiting_row const> /*rows*/,
                                 state::time_point /*now*/)
{
}

} // namespace plumdale::coordination
