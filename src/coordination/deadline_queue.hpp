#pragma once

#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <queue>
#include <vector>

/// \file
/// \brief Timers of a shard's generations and relays.

namespace plumdale::coordination
{

/// \brief Timer of one generation or relay; `relay` is zero for a generation.
struct due_item
{
    state::time_point at;
    state::generation_id generation;
    state::caller_handle relay;
};

/// \brief A heap whose items may be out of date: the code that takes one checks whether it is due.
///
/// A token moves its stream's deadline; updating the heap too would cost a heap operation per
/// token.
class deadline_queue
{
public:
    void push(due_item const& item)
    {
        heap_.push(item);
    }

    [[nodiscard]] state::time_point next() const
    {
        return heap_.empty() ? state::never : heap_.top().at;
    }

    [[nodiscard]] due_item take()
    {
        due_item const item = heap_.top();
        heap_.pop();
        return item;
    }

private:
    struct later
    {
        bool operator()(due_item const& a, due_item const& b) const noexcept
        {
            return a.at > b.at;
        }
    };

    std::priority_queue<due_item, std::vector<due_item>, later> heap_;
};

} // namespace plumdale::coordination
