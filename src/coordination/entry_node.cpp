#include <plumdale/coordination/entry_node.hpp>

#include <utility>

namespace plumdale::coordination
{

entry_node::entry_node(node_settings settings, policy_factory const& make_policy,
                       std::uint64_t seed)
    : settings_{std::move(settings)}, signer_{settings_.fleet_key, settings_.accepted_fleet_keys},
      fleet_{std::make_shared<fleet_snapshot const>()}, control_{settings_, fleet_, in_flight_,
                                                                 seed}
{
    shard_context const context{settings_, signer_, fleet_, in_flight_};
    for (std::uint32_t i = 0; i < settings_.shards; ++i)
    {
        shards_.push_back(std::make_unique<request_shard>(context, i, make_policy(i)));
    }
}

entry_node::~entry_node() = default;

std::uint32_t entry_node::shard_for(state::request const& request,
                                    std::uint32_t preferred_shard) const noexcept
{
    std::uint32_t const count = shard_count();
    if (request.generation)
    {
        return static_cast<std::uint32_t>(request.generation.sequence % count);
    }
    if (request.key)
    {
        return static_cast<std::uint32_t>(request.key.value % count);
    }
    return preferred_shard % count;
}

std::uint32_t entry_node::shard_count() const noexcept
{
    return static_cast<std::uint32_t>(shards_.size());
}

void entry_node::handle(std::uint32_t shard, request_event const& event, state::time_point now,
                        request_actions& actions)
{
    shards_[shard]->handle(event, now, actions);
}

void entry_node::handle(control_event const& event, state::time_point now, control_actions& actions)
{
    control_.handle(event, now, actions);
}

state::time_point entry_node::next_deadline(std::uint32_t shard) const
{
    return shards_[shard]->next_deadline();
}

state::time_point entry_node::next_control_deadline() const
{
    return control_.next_deadline();
}

std::shared_ptr<fleet_snapshot const> entry_node::fleet() const
{
    return fleet_.value();
}

delivery_counts const& entry_node::shard_counts(std::uint32_t shard) const noexcept
{
    return shards_[shard]->counts();
}

cached_reader<fleet_snapshot> entry_node::fleet_reader() const
{
    return cached_reader<fleet_snapshot>{fleet_};
}

std::uint32_t entry_node::in_flight() const noexcept
{
    return in_flight_.load(std::memory_order_acquire);
}

} // namespace plumdale::coordination
