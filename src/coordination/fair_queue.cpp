#include <plumdale/coordination/fair_queue.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void fair_queue::push(flow_key const& flow, state::generation_id const& id)
{
    flows_[flow].push_back(id);
    ++size_;
}

void fair_queue::remove(flow_key const& flow, state::generation_id const& id)
{
    auto const found = flows_.find(flow);
    if (found == flows_.end())
    {
        return;
    }
    auto& queue = found->second;
    auto const at = std::find(queue.begin(), queue.end(), id);
    if (at == queue.end())
    {
        return;
    }
    queue.erase(at);
    --size_;
    if (queue.empty())
    {
        flows_.erase(found);
    }
}

void fair_queue::heads(std::size_t count, std::vector<state::generation_id>& out)
{
    auto next = flows_.upper_bound(last_served_);
    std::size_t const turns = std::min(count, flows_.size());
    for (std::size_t i = 0; i < turns; ++i)
    {
        if (next == flows_.end())
        {
            next = flows_.begin();
        }
        if (i == 0)
        {
            last_served_ = next->first;
        }
        out.push_back(next->second.front());
        ++next;
    }
}

} // namespace plumdale::coordination
